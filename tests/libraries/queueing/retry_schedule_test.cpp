#include <savorymount/queueing/retry_schedule.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <tests/libraries/time_points.hpp>
#include <vector>

namespace savorymount::queueing
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

refused_caller caller(std::int32_t urgency, std::size_t ahead, base::duration time_left = 60s)
{
    return {urgency, ahead, 20ms, time_left};
}

/// How many callers meet room when they return, if one request begins per interval from `at({})` on
/// and a caller that meets none is refused for good.
std::size_t served(std::vector<base::duration> returns, base::duration interval)
{
    std::sort(returns.begin(), returns.end());
    std::size_t out = 0;
    for (auto const it : returns)
    {
        auto const begun_until_then = static_cast<std::size_t>(it / interval);
        out += out < begun_until_then ? 1 : 0;
    }
    return out;
}

// Guards against callers that return at the same moment and are refused again, as with one delay
// for all.
TEST(retry_schedule, spreads_returns_so_that_each_meets_room)
{
    retry_schedule schedule;
    std::vector<base::duration> spread;
    spread.reserve(100);
    for (int n = 0; n < 100; ++n)
        spread.push_back(*schedule.book(at({}), caller(2, 0), 0));
    std::vector<base::duration> const with_one_delay(100, 120ms);
    EXPECT_EQ(served(spread, 20ms), 100U);
    EXPECT_LT(served(with_one_delay, 20ms), 10U);
    EXPECT_GE(*std::max_element(spread.begin(), spread.end()), 2s);
}

// Guards against urgent callers that return behind less urgent ones.
TEST(retry_schedule, lets_more_urgent_callers_return_first)
{
    retry_schedule schedule;
    for (int n = 0; n < 100; ++n)
        EXPECT_TRUE(schedule.book(at({}), caller(2, 0), 0));
    EXPECT_LE(*schedule.book(at({}), caller(0, 0), 0), 200ms);
    EXPECT_GE(*schedule.book(at({}), caller(2, 0), 0), 2s);
}

// Guards against a caller that is told to return when it is too late for its request.
TEST(retry_schedule, tells_no_time_that_is_too_late)
{
    retry_schedule schedule;
    EXPECT_FALSE(schedule.book(at({}), caller(1, 100, 1s), 0));
    EXPECT_EQ(schedule.size(at({})), 0U);
    EXPECT_TRUE(schedule.book(at({}), caller(1, 10, 1s), 0));
}

// Guards against a schedule that grows for ever and delays callers by returns of the past.
TEST(retry_schedule, forgets_returns_that_are_due)
{
    retry_schedule schedule;
    for (int n = 0; n < 50; ++n)
        schedule.book(at({}), caller(1, 0), 0);
    EXPECT_EQ(schedule.size(at({})), 50U);
    EXPECT_EQ(schedule.size(at(10s)), 0U);
    EXPECT_LE(*schedule.book(at(10s), caller(1, 0), 0.5), 200ms);
}

} // namespace
} // namespace savorymount::queueing
