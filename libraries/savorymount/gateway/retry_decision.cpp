#include <savorymount/gateway/retry_decision.hpp>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;

// Another upstream can't respond in less time.
constexpr base::duration min_time_left = 40ms;
constexpr std::uint32_t max_attempts_not_sent = 4;

} // namespace

bool is_repeatable(configuration::repeat_rule rule, bool resumable)
{
    return rule == configuration::repeat_rule::safe ||
           (rule == configuration::repeat_rule::streaming && resumable);
}

bool may_retry(attempt_failure failure, attempt_history const& history)
{
    if (history.time_left < min_time_left)
        return false;
    bool const repeatable = is_repeatable(history.repeatability, history.resumable);
    if (history.may_have_run && !repeatable)
        return false;
    if (history.attempts_sent >= history.max_attempts)
        return false;
    bool const missed_upstream =
        failure == attempt_failure::not_sent || failure == attempt_failure::upstream_ended;
    if (missed_upstream && history.attempts_not_sent >= max_attempts_not_sent)
        return false;
    if (failure == attempt_failure::not_sent)
        return true;
    return history.retries_available >= 1;
}

} // namespace savorymount::gateway
