#include <savorymount/runtime/loop_delay_monitor.hpp>

#include <utility>

namespace savorymount::runtime
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration check_interval = 100ms;
constexpr base::duration min_reported_delay = 250ms;
constexpr base::duration min_report_interval = 1s;

} // namespace

loop_delay_monitor::loop_delay_monitor(timer_service& timers,
                                       std::function<void(loop_delay const&)> report)
    : timers_(timers), report_(std::move(report)), last_check_at_(timers.now()),
      last_process_time_(process_time()), timer_(timers.every(check_interval, [this] { check(); }))
{
}

void loop_delay_monitor::check()
{
    auto const now = timers_.now();
    auto const delay = now - std::exchange(last_check_at_, now) - check_interval;
    auto const used = process_time();
    auto const processor_time = used - std::exchange(last_process_time_, used);
    auto const longest = take_longest_task();
    if (delay < min_reported_delay || now < next_report_at_)
        return;
    next_report_at_ = now + min_report_interval;
    report_({delay, processor_time, longest});
}

} // namespace savorymount::runtime
