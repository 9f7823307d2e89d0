#include <savorymount/retries/outlier_ejection.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace savorymount::retries
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point at(base::duration since_start)
{
    return base::time_point(since_start + std::chrono::hours(1));
}

bool fail_repeatedly(outlier_ejection& ejection, base::time_point now,
                     routing::upstream_id upstream)
{
    bool out = false;
    for (int i = 0; i < 5; ++i)
        out = ejection.record_failure(now, upstream) || out;
    return out;
}

// Guards against sending traffic to an upstream that fails every request.
TEST(outlier_ejection, consecutive_failures_eject)
{
    outlier_ejection ejection({});
    ejection.set_group_size(4);
    for (int i = 0; i < 4; ++i)
        EXPECT_FALSE(ejection.record_failure(at(seconds(0)), 1));
    ejection.record_success(at(seconds(0)), 1);
    for (int i = 0; i < 4; ++i)
        EXPECT_FALSE(ejection.record_failure(at(seconds(0)), 1));
    EXPECT_EQ(ejection.traffic_share(at(seconds(0)), 1), 1.0);
    EXPECT_TRUE(ejection.record_failure(at(seconds(0)), 1));
    EXPECT_EQ(ejection.traffic_share(at(seconds(0)), 1), 0.0);
    EXPECT_EQ(ejection.traffic_share(at(seconds(0)), 2), 1.0);
}

// Guards against an upstream that fails half of its requests but never five in a row.
TEST(outlier_ejection, a_high_failure_ratio_ejects)
{
    outlier_ejection ejection({});
    ejection.set_group_size(4);
    bool ejected = false;
    for (int i = 0; i < 12; ++i)
    {
        ejection.record_success(at(seconds(0)), 1);
        ejected = ejection.record_failure(at(seconds(0)), 1) || ejected;
    }
    EXPECT_TRUE(ejected);
}

// Guards against an ejection because occasional failures accumulate over a long time.
TEST(outlier_ejection, rare_failures_do_not_eject)
{
    outlier_ejection ejection({});
    ejection.set_group_size(4);
    for (int i = 0; i < 1000; ++i)
    {
        EXPECT_FALSE(ejection.record_failure(at(seconds(i)), 1));
        ejection.record_success(at(seconds(i)), 1);
        ejection.record_success(at(seconds(i)), 1);
    }
}

// Guards against full traffic to an upstream right after its return, and against one that never
// returns.
TEST(outlier_ejection, returns_with_slow_start)
{
    outlier_ejection ejection({});
    ejection.set_group_size(4);
    EXPECT_TRUE(fail_repeatedly(ejection, at(seconds(0)), 1));
    EXPECT_EQ(ejection.traffic_share(at(milliseconds(4999)), 1), 0.0);
    EXPECT_DOUBLE_EQ(ejection.traffic_share(at(seconds(5)), 1), 0.1);
    EXPECT_DOUBLE_EQ(ejection.traffic_share(at(seconds(10)), 1), 0.55);
    EXPECT_EQ(ejection.traffic_share(at(seconds(15)), 1), 1.0);
}

// Guards against an upstream that returns and fails again every few seconds.
TEST(outlier_ejection, repeated_ejections_last_longer)
{
    outlier_ejection ejection({});
    ejection.set_group_size(4);
    base::time_point now = at(seconds(0));
    for (base::duration const duration :
         {seconds(5), seconds(10), seconds(20), seconds(40), seconds(60), seconds(60)})
    {
        EXPECT_TRUE(fail_repeatedly(ejection, now, 1));
        EXPECT_EQ(ejection.traffic_share(now + duration - milliseconds(1), 1), 0.0);
        now += duration;
        EXPECT_GT(ejection.traffic_share(now, 1), 0.0);
    }
    now += seconds(30);
    ejection.record_success(now, 1);
    EXPECT_TRUE(fail_repeatedly(ejection, now, 1));
    EXPECT_GT(ejection.traffic_share(now + seconds(5), 1), 0.0) << "it had recovered in between";
}

// Guards against ejecting most of a group when the cause lies outside of it.
RC_GTEST_PROP(outlier_ejection_properties, at_most_half_is_ejected, ())
{
    auto const size = *rc::gen::inRange<std::size_t>(0, 12);
    outlier_ejection ejection({});
    ejection.set_group_size(size);
    base::time_point now = at(seconds(0));
    int const steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps && size > 0; ++i)
    {
        now += milliseconds(*rc::gen::inRange(0, 1000));
        auto const upstream =
            static_cast<routing::upstream_id>(*rc::gen::inRange<std::size_t>(0, size));
        if (*rc::gen::inRange(0, 5) == 0)
            ejection.record_success(now, upstream);
        else
            fail_repeatedly(ejection, now, upstream);
        RC_ASSERT(2 * ejection.ejected_count(now) <= size);
        std::size_t without_traffic = 0;
        for (routing::upstream_id id = 0; id < size; ++id)
            without_traffic += ejection.traffic_share(now, id) == 0.0 ? 1 : 0;
        RC_ASSERT(without_traffic == ejection.ejected_count(now));
    }
}

} // namespace
} // namespace savorymount::retries
