#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/loop_delay_monitor.hpp>

#include <gtest/gtest.h>

#include <thread>
#include <vector>

namespace savorymount::runtime
{
namespace
{

using namespace std::chrono_literals;

// Guards against an instance whose logs do not show that it was too busy to handle what arrived.
TEST(loop_delay_monitor, reports_a_callback_that_holds_up_the_loop)
{
    event_loop loop;
    timer_service timers(loop);
    std::vector<loop_delay> delays;
    loop_delay_monitor const monitor(timers, [&](loop_delay const& it) { delays.push_back(it); });
    auto const busy = timers.after(50ms,
                                   []
                                   {
                                       task_timer const timer("sleep");
                                       std::this_thread::sleep_for(600ms);
                                   });
    auto const end = timers.after(1s, [&] { loop.stop(); });
    loop.run();
    ASSERT_GE(delays.size(), 1U);
    EXPECT_GE(delays.front().delay, 250ms);
    EXPECT_STREQ(delays.front().longest_task.task, "sleep");
    EXPECT_GE(delays.front().longest_task.time, 600ms);
    // The process slept, so the delay is not its own work.
    EXPECT_LT(delays.front().processor_time, delays.front().delay);
}

} // namespace
} // namespace savorymount::runtime
