#include <savorymount/base/random_source.hpp>
#include <savorymount/limits/shared_bucket.hpp>

#include <gtest/gtest.h>

#include <tests/libraries/seeded_property.hpp>
#include <tests/libraries/time_points.hpp>
#include <vector>

namespace savorymount::limits
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

// Guards against a workspace that gets more or less than its rate and burst at one instance.
TEST(shared_bucket, admits_burst_and_rate)
{
    shared_bucket bucket(at(0s), {100, 50, {}}, 1);
    EXPECT_TRUE(bucket.admit(at(0s), 50).admitted);
    auto const refused = bucket.admit(at(0s), 20);
    EXPECT_FALSE(refused.admitted);
    EXPECT_EQ(refused.retry_after, 200ms);
    EXPECT_TRUE(bucket.admit(at(200ms), 20).admitted);
}

// Guards against a request that is refused for ever since it is larger than the burst.
TEST(shared_bucket, admits_a_request_above_the_burst_when_it_is_full)
{
    shared_bucket bucket(at(0s), {100, 50, {}}, 1);
    EXPECT_TRUE(bucket.admit(at(0s), 500).admitted);
    EXPECT_FALSE(bucket.admit(at(1s), 1).admitted);
    EXPECT_DOUBLE_EQ(bucket.level(at(5s)), 50);
}

// Guards against tokens lost for a request that did not run.
TEST(shared_bucket, takes_back_the_tokens_of_a_request_that_did_not_run)
{
    shared_bucket bucket(at(0s), {100, 50, {}}, 1);
    ASSERT_TRUE(bucket.admit(at(0s), 30).admitted);
    bucket.refund(at(0s), 30);
    EXPECT_DOUBLE_EQ(bucket.admitted_total(), 0);
    EXPECT_TRUE(bucket.admit(at(0s), 50).admitted);
}

// Guards against a restarted instance whose total starts at zero again.
TEST(shared_bucket, debits_the_reports_of_each_incarnation_apart)
{
    shared_bucket bucket(at(0s), {100, 1000, {}}, 1);
    bucket.report(at(0s), "a#1", at(0s), 300);
    bucket.report(at(0s), "a#2", at(0s), 100);
    bucket.report(at(0s), "a#2", at(0s), 100);
    EXPECT_DOUBLE_EQ(bucket.level(at(0s)), 600);
}

// Guards against a restarted instance that charges the workspace once more for all that the others
// have admitted since they started: in a recorded day the first one that was back after a rolling
// restart began at -957,611 tokens and refused nearly everything for four seconds.
TEST(shared_bucket, is_not_debited_for_what_was_admitted_before_it_existed)
{
    shared_bucket bucket(at(100s), {100, 1000, {}}, 1);
    bucket.report(at(100s), "older", at(10s), 957'611);
    EXPECT_DOUBLE_EQ(bucket.level(at(100s)), 1000);
    bucket.report(at(100s), "older", at(10s), 957'811);
    EXPECT_DOUBLE_EQ(bucket.level(at(100s)), 800);
    bucket.report(at(100s), "younger", at(100s), 50);
    EXPECT_DOUBLE_EQ(bucket.level(at(100s)), 750);
}

// Guards against an instance that is cut off and spends the rate of all.
TEST(shared_bucket, uses_less_than_its_share_when_it_hears_of_no_other)
{
    shared_bucket bucket(at(0s), {100, 100, {}}, 0);
    bucket.set_instances(at(0s), 4, 3);
    EXPECT_NEAR(bucket.level(at(4s)), 50, 0.1);
    bucket.set_instances(at(4s), 4, 1);
    EXPECT_NEAR(bucket.level(at(4400ms)), 85, 0.1);
}

// Guards against a workspace that is refused within its limit since it used it unevenly, and
// against more than the limit in any window.
TEST(shared_bucket, lets_a_workspace_use_its_limit_anywhere_within_the_window)
{
    shared_bucket bucket(at(0s), {100, 50, 8s}, 1);
    EXPECT_TRUE(bucket.admit(at(0s), 850).admitted);
    auto const refused = bucket.admit(at(1s), 1);
    EXPECT_FALSE(refused.admitted);
    EXPECT_EQ(refused.retry_after, 7100ms);
    EXPECT_FALSE(bucket.admit(at(8s), 1).admitted);
    EXPECT_TRUE(bucket.admit(at(8100ms), 1).admitted);
}

// Guards against many instances that see the same rest of the limit and all use it: a day with 25
// instances broke the limit of a workspace that sent several times its rate.
TEST(shared_bucket, divides_the_rest_of_the_limit_among_many_instances)
{
    constexpr std::size_t count = 25;
    double admitted = 0;
    for (std::size_t i = 0; i < count; ++i)
    {
        shared_bucket bucket(at(0s), {1000, 0, 8s}, 1);
        bucket.set_instances(at(0s), count, 0);
        bucket.report(at(0s), "other", at(0s), 7000);
        for (int n = 0; n < 50; ++n)
            admitted += bucket.admit(at(0s), 50).admitted ? 50 : 0;
    }
    EXPECT_LE(admitted, 2 * 1000);
    EXPECT_GE(admitted, 0.5 * 1000);
}

// Guards against a restarted instance that admits a whole window at once, and against one that
// admits nothing.
TEST(shared_bucket, assumes_the_rate_before_it_started)
{
    shared_bucket bucket(at(0s), {100, 50, 8s}, 0.3);
    double admitted = 0;
    for (base::duration time{}; time < 4s; time += 100ms)
        admitted += bucket.admit(at(time), 20).admitted ? 20 : 0;
    EXPECT_GT(admitted, 250);
    EXPECT_LE(admitted, 470);
}

// Guards against a lowered limit that refuses everything until the window has passed.
TEST(shared_bucket, goes_on_at_the_lower_rate_after_the_contract_was_lowered)
{
    shared_bucket bucket(at(0s), {100, 0, 8s}, 1);
    for (base::duration time{}; time < 8s; time += 100ms)
        bucket.admit(at(time), 10);
    bucket.set_contract(at(8s), {10, 0, 8s});
    double admitted = 0;
    for (base::duration time = 8s; time < 12s; time += 100ms)
        admitted += bucket.admit(at(time), 1).admitted ? 1 : 0;
    EXPECT_GE(admitted, 30);
    EXPECT_LE(admitted, 50);
}

// Guards against instances that together admit far above rate and burst in some window, with
// reports that are late or lost, while some of them are restarted.
TEST(shared_bucket, keeps_the_sum_of_all_instances_near_the_contract_in_generated_histories)
{
    for (base::duration const counted_over : {0s, 8s})
        tests::check_seeded(
            0xb0c4e7, 100,
            [counted_over]
            {
                constexpr double rate = 1000;
                constexpr double burst = 1000;
                constexpr std::size_t count = 4;
                constexpr base::duration step = 50ms;
                constexpr base::duration window = 8s;
                std::vector<shared_bucket> buckets;
                std::vector<int> incarnations(count, 0);
                for (std::size_t i = 0; i < count; ++i)
                {
                    buckets.emplace_back(at(0s), bucket_contract{rate, burst, counted_over}, 1);
                    buckets.back().set_instances(at(0s), count, 0);
                }
                auto const lost = *rc::gen::inRange(0U, 50U);
                auto const request = *rc::gen::inRange(20U, 300U);
                base::random_source random(*rc::gen::arbitrary<std::uint32_t>());
                std::vector<std::pair<base::time_point, double>> admitted;
                double in_window = 0;
                std::size_t first = 0;
                for (base::duration time{}; time < 30s; time += step)
                {
                    auto const now = at(time);
                    for (std::size_t i = 0; i < count; ++i)
                    {
                        // Demand is several times the rate.
                        for (int n = 0; n < 2; ++n)
                        {
                            if (!buckets[i].admit(now, request).admitted)
                                continue;
                            admitted.emplace_back(now, request);
                            in_window += request;
                        }
                        for (std::size_t other = 0; other < count; ++other)
                        {
                            if (other != i && random.uniform_below(100) >= lost)
                                buckets[other].report(
                                    now, std::to_string(i) + "#" + std::to_string(incarnations[i]),
                                    at(0s), buckets[i].admitted_total());
                        }
                    }
                    while (now - admitted[first].first > window)
                        in_window -= admitted[first++].second;
                    // Each instance may admit a burst before it hears of the others, and a request
                    // between two reports.
                    double const slack = burst * (count - 1) + request * 2.0 * count * 4;
                    RC_ASSERT(in_window <= rate * 8 + burst + slack);
                }
                // And the rate is used.
                RC_ASSERT(in_window >= rate * 8 * 0.8);
            });
}

} // namespace
} // namespace savorymount::limits
