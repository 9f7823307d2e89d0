#include <savorymount/routing/prefix_work.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace savorymount::routing
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point at(base::duration since_start)
{
    return base::time_point(since_start + std::chrono::hours(1));
}

void add(prefix_work& work, base::time_point now, std::uint64_t digest, double amount)
{
    work.add_total(now, amount);
    work.add(now, digest, amount);
}

// Guards against a prefix that stays placed on many engines after its load has dropped.
TEST(prefix_work, share_follows_recent_work)
{
    prefix_work work(64, seconds(10));
    EXPECT_EQ(work.share(at(seconds(0)), 1, 0), 1.0);
    add(work, at(seconds(0)), 1, 300);
    add(work, at(seconds(0)), 2, 100);
    EXPECT_DOUBLE_EQ(work.share(at(seconds(0)), 1, 0), 0.75);
    EXPECT_DOUBLE_EQ(work.share(at(seconds(60)), 1, 0), 0.75)
        << "shares must not change while all work decays equally";
    add(work, at(seconds(60)), 2, 400);
    EXPECT_LT(work.share(at(seconds(60)), 1, 0), 0.02);
    EXPECT_EQ(work.share(at(seconds(60)), 3, 0), 0.0);
    EXPECT_NEAR(work.recent_requests(at(seconds(70)), 2), 0.5, 0.01);
}

// Guards against router instances that place all prefixes of a workspace on one engine after a
// restart.
TEST(prefix_work, share_is_high_after_few_requests)
{
    prefix_work work(64, seconds(10));
    EXPECT_EQ(work.share(at(seconds(0)), 1, 2), 1.0);
    add(work, at(seconds(0)), 2, 100);
    EXPECT_DOUBLE_EQ(work.share(at(seconds(0)), 1, 2), 2.0 / 3.0);
    for (int i = 0; i < 97; ++i)
        add(work, at(seconds(0)), 2, 100);
    EXPECT_DOUBLE_EQ(work.share(at(seconds(0)), 1, 2), 0.02);
}

// Guards against memory use that grows with the number of prefixes, and against rare prefixes that
// evict hot ones.
TEST(prefix_work, rare_prefixes_do_not_evict_hot_ones)
{
    prefix_work work(64, seconds(10));
    std::size_t const before = work.memory_bytes();
    for (std::uint64_t i = 0; i < 10'000; ++i)
    {
        add(work, at(milliseconds(i)), 7, 100);
        add(work, at(milliseconds(i)), 1000 + i, 1);
    }
    EXPECT_GT(work.share(at(seconds(10)), 7, 0), 0.9);
    EXPECT_EQ(work.memory_bytes(), before);
}

// Guards against shares outside the range from 0 to 1 for any sequence of requests.
RC_GTEST_PROP(prefix_work_properties, shares_are_between_zero_and_one, ())
{
    prefix_work work(8, seconds(1));
    base::time_point now = at(seconds(0));
    double const prior_requests = *rc::gen::inRange(0, 5);
    int const steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i)
    {
        now += milliseconds(*rc::gen::inRange(0, 3000));
        add(work, now, *rc::gen::inRange<std::uint64_t>(0, 40), *rc::gen::inRange(0, 1000));
        for (std::uint64_t digest = 0; digest < 40; ++digest)
        {
            double const share = work.share(now, digest, prior_requests);
            RC_ASSERT(share >= 0.0);
            RC_ASSERT(share <= 1.0);
        }
    }
}

} // namespace
} // namespace savorymount::routing
