#include <savorymount/routing/upstream_work.hpp>

#include <gtest/gtest.h>

namespace savorymount::routing
{
namespace
{

using std::chrono::seconds;

base::time_point at(base::duration since_start)
{
    return base::time_point(since_start + std::chrono::hours(1));
}

// Guards against an upstream that stays overloaded because the prefixes of several large clients
// are placed on it.
TEST(upstream_work, detects_upstreams_above_the_mean)
{
    upstream_work work(seconds(60));
    EXPECT_EQ(work.relative_to_mean(at(seconds(0)), 0, 4), 1.0);
    for (int i = 0; i < 1000; ++i)
    {
        work.add(at(seconds(0)), 0, 3);
        work.add(at(seconds(0)), 1, 1);
    }
    EXPECT_NEAR(work.relative_to_mean(at(seconds(0)), 0, 4), 3.0, 0.1);
    EXPECT_NEAR(work.relative_to_mean(at(seconds(0)), 1, 4), 1.0, 0.1);
    EXPECT_LT(work.relative_to_mean(at(seconds(0)), 2, 4), 0.1);
    for (int i = 0; i < 1000; ++i)
        work.add(at(seconds(600)), 2, 1);
    EXPECT_LT(work.relative_to_mean(at(seconds(600)), 0, 4), 0.2) << "old work must decay";
    work.reset(2);
    EXPECT_LT(work.relative_to_mean(at(seconds(600)), 2, 4), 0.1);
}

// Guards against treating single requests as an overload in a large pool.
TEST(upstream_work, stays_near_one_with_few_requests)
{
    upstream_work work(seconds(60));
    for (upstream_id i = 0; i < 100; ++i)
        work.add(at(seconds(0)), i, 1);
    EXPECT_LT(work.relative_to_mean(at(seconds(0)), 5, 12'000), 1.3);
    EXPECT_GT(work.relative_to_mean(at(seconds(0)), 5000, 12'000), 0.9);
}

} // namespace
} // namespace savorymount::routing
