#include <savorymount/runtime/task_timer.hpp>

#include <ctime>
#include <utility>

namespace savorymount::runtime
{
namespace
{

// All tasks run on the one thread of the event loop.
task_timer* current = nullptr;
task_time longest;

base::duration read_clock(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return std::chrono::seconds(time.tv_sec) +
           std::chrono::duration_cast<base::duration>(std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

task_timer::task_timer(char const* task)
    : task_(task), outer_(std::exchange(current, this)), started_at_(read_clock(CLOCK_MONOTONIC))
{
}

task_timer::~task_timer()
{
    current = outer_;
    auto const total = read_clock(CLOCK_MONOTONIC) - started_at_;
    if (outer_ != nullptr)
        outer_->inner_time_ += total;
    auto const own = total - inner_time_;
    if (own > longest.time)
        longest = {task_, own};
}

task_time take_longest_task()
{
    return std::exchange(longest, {});
}

base::duration process_time()
{
    return read_clock(CLOCK_PROCESS_CPUTIME_ID);
}

} // namespace savorymount::runtime
