#include <savorymount/gateway/retry_decision.hpp>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;

// With less time left another upstream can't answer any more.
constexpr base::duration least_time_left = 40ms;
constexpr std::uint32_t most_failed_connects = 4;

} // namespace

bool is_repeatable(configuration::repeat_rule kind, bool resumable)
{
    return kind == configuration::repeat_rule::safe ||
           (kind == configuration::repeat_rule::streaming && resumable);
}

bool may_send_again(send_end last, send_history const& history)
{
    if (history.time_left < least_time_left)
        return false;
    bool const repeatable = is_repeatable(history.kind, history.resumable);
    if (history.may_have_run && !repeatable)
        return false;
    if (history.sent >= history.max_attempts)
        return false;
    if (last == send_end::not_sent)
        return history.not_sent < most_failed_connects;
    return history.allowance >= 1;
}

} // namespace savorymount::gateway
