#pragma once

#include <savorymount/runtime/task_timer.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <functional>

namespace savorymount::runtime
{

/// How late the event loop handled a timer, and what it did meanwhile.
struct loop_delay
{
    base::duration delay{};
    /// Processor time of the process since the check before; far less than the delay if the process
    /// was not run.
    base::duration processor_time{};
    task_time longest_task;
};

/// Reports when the event loop handles a timer late: everything that arrives waits as long.
class loop_delay_monitor
{
public:
    /// `report` is called at most once a second.
    loop_delay_monitor(timer_service& timers, std::function<void(loop_delay const&)> report);

private:
    void check();

    timer_service& timers_;
    std::function<void(loop_delay const&)> report_;
    base::time_point last_check_at_;
    base::duration last_process_time_;
    base::time_point next_report_at_{};
    timer_service::subscription timer_;
};

} // namespace savorymount::runtime
