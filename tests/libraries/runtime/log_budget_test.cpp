#include <savorymount/runtime/log_budget.hpp>

#include <gtest/gtest.h>

#include <array>
#include <fcntl.h>
#include <tests/libraries/time_points.hpp>
#include <unistd.h>

namespace savorymount::runtime
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

// Guards against a log that grows without bound under load, and against failures that are lost
// among ordinary lines.
TEST(log_budget, keeps_half_of_the_lines_for_failures)
{
    log_budget budget(10);
    int ordinary = 0;
    int important = 0;
    for (int i = 0; i < 100; ++i)
        ordinary += budget.admit(at(0s), false) ? 1 : 0;
    for (int i = 0; i < 100; ++i)
        important += budget.admit(at(0s), true) ? 1 : 0;
    EXPECT_EQ(ordinary, 5);
    EXPECT_EQ(important, 5);
    EXPECT_EQ(budget.take_dropped(at(0s)), 190U);
    EXPECT_TRUE(budget.admit(at(1s), false));
}

// Guards against a request of which some lines are written and others not.
TEST(log_budget, admits_all_lines_of_a_group_or_none)
{
    log_budget budget(10);
    EXPECT_TRUE(budget.admit(at(0s), false, 3));
    EXPECT_FALSE(budget.admit(at(0s), false, 3));
    EXPECT_TRUE(budget.admit(at(0s), false, 2));
    EXPECT_TRUE(budget.admit(at(0s), true, 5));
    EXPECT_EQ(budget.take_dropped(at(0s)), 3U);
}

// Guards against drops that nobody hears of, and against a line about drops for each drop.
TEST(log_budget, tells_of_drops_once_a_second)
{
    log_budget budget(1);
    EXPECT_EQ(budget.take_dropped(at(0s)), 0U);
    budget.left_out(1);
    EXPECT_EQ(budget.take_dropped(at(0s)), 1U);
    budget.left_out(1);
    EXPECT_EQ(budget.take_dropped(at(500ms)), 0U);
    EXPECT_EQ(budget.take_dropped(at(1s)), 1U);
}

// Guards against a reader that stops reading and so stops the requests.
TEST(log_budget, knows_when_a_pipe_takes_no_line)
{
    std::array<int, 2> ends{};
    ASSERT_EQ(pipe2(ends.data(), O_NONBLOCK), 0);
    EXPECT_TRUE(takes_a_line(ends[1]));
    std::array<char, 4096> page{};
    while (write(ends[1], page.data(), page.size()) > 0)
        continue;
    EXPECT_FALSE(takes_a_line(ends[1]));
    close(ends[0]);
    close(ends[1]);
}

} // namespace
} // namespace savorymount::runtime
