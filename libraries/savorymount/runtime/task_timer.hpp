#pragma once

#include <savorymount/base/time.hpp>

namespace savorymount::runtime
{

/// Time that one task of the event loop took, without the tasks inside it.
struct task_time
{
    /// Empty if no task ran.
    char const* task = "";
    base::duration time{};
};

/// Measures one task of the event loop, from its construction to its destruction.
class task_timer
{
public:
    /// `task` names the kind of work and outlives the process's last log line.
    explicit task_timer(char const* task);
    ~task_timer();
    task_timer(task_timer const&) = delete;
    task_timer& operator=(task_timer const&) = delete;

private:
    char const* task_;
    task_timer* outer_;
    base::duration started_at_;
    base::duration inner_time_{};
};

/// The longest task that ended since the last call.
task_time take_longest_task();

/// Processor time that the process has used since it started.
base::duration process_time();

} // namespace savorymount::runtime
