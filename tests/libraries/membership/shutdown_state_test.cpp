#include <savorymount/membership/shutdown_state.hpp>

#include <gtest/gtest.h>

namespace savorymount::membership
{
namespace
{

base::time_point at(int seconds)
{
    return base::time_point(std::chrono::seconds(seconds));
}

// Guards against a process exit that aborts a running request.
TEST(shutdown_state, is_drained_after_requests_tasks_and_the_announcement_period_end)
{
    shutdown_state state(std::chrono::seconds(3));
    EXPECT_TRUE(state.begin_request());
    EXPECT_TRUE(state.begin_request());
    EXPECT_EQ(state.phase(at(100)), shutdown_phase::accepting);
    EXPECT_FALSE(state.announcement_end());
    state.begin_shutdown(at(100));
    state.begin_shutdown(at(200));
    EXPECT_EQ(state.announcement_end(), at(103));
    EXPECT_FALSE(state.begin_request());
    EXPECT_EQ(state.phase(at(104)), shutdown_phase::leaving);
    state.end_request();
    EXPECT_TRUE(state.begin_task());
    state.end_request();
    EXPECT_EQ(state.phase(at(105)), shutdown_phase::leaving);
    state.end_task();
    EXPECT_EQ(state.phase(at(105)), shutdown_phase::drained);
}

// Guards against an idle process that exits before its peers are notified, so that they treat it as
// crashed.
TEST(shutdown_state, an_idle_process_stays_until_the_announcement_period_ends)
{
    shutdown_state state(std::chrono::seconds(3));
    state.begin_shutdown(at(0));
    EXPECT_EQ(state.phase(at(2)), shutdown_phase::leaving);
    EXPECT_EQ(state.phase(at(3)), shutdown_phase::drained);
}

// Guards against requests that start after the process was found drained and before it exits.
TEST(shutdown_state, a_drained_process_accepts_no_requests_or_tasks)
{
    shutdown_state state(std::chrono::seconds(0));
    state.begin_shutdown(at(0));
    EXPECT_EQ(state.phase(at(0)), shutdown_phase::drained);
    EXPECT_FALSE(state.begin_request());
    EXPECT_FALSE(state.begin_task());
    state.end_request();
    state.end_task();
    EXPECT_EQ(state.requests() + state.tasks(), 0U);
    EXPECT_EQ(state.phase(at(0)), shutdown_phase::drained);
}

} // namespace
} // namespace savorymount::membership
