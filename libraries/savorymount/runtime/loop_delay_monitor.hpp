#pragma once

#include <savorymount/runtime/timer_service.hpp>

#include <functional>

namespace savorymount::runtime
{

/// Reports when the event loop handles a timer late: everything that arrives waits as long.
class loop_delay_monitor
{
public:
    /// `report` is called with the delay, at most once a second.
    loop_delay_monitor(timer_service& timers, std::function<void(base::duration)> report);

private:
    void check();

    timer_service& timers_;
    std::function<void(base::duration)> report_;
    base::time_point last_check_at_;
    base::time_point next_report_at_{};
    timer_service::subscription timer_;
};

} // namespace savorymount::runtime
