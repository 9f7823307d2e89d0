#include "../seeded_property.hpp"
#include <savorymount/limits/workspace_bucket.hpp>

#include <tests/libraries/time_points.hpp>

namespace savorymount::limits
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using level = workspace_bucket::start_level;
using tests::at;

// Guards against a second full burst after a takeover.
TEST(workspace_bucket, starts_at_requested_level)
{
    EXPECT_EQ(workspace_bucket(at({}), 7, 10, 100, level::full).level(at({})), 100);
    EXPECT_EQ(workspace_bucket(at({}), 7, 10, 100, level::empty).level(at({})), 0);
}

// Guards against prefetches that take the last tokens, which requests at other agents may need.
TEST(workspace_bucket, prefetch_gets_part_of_the_level_above_the_reserve)
{
    workspace_bucket bucket(at({}), 7, 10, 800, level::full);
    base::duration retry_after{};
    EXPECT_EQ(bucket.grant(at({}), 800, 0, retry_after), (token_grant{1, 75, seconds(2), 7}));
    EXPECT_EQ(bucket.grant(at({}), 50, 0, retry_after)->tokens, 50U);
    EXPECT_EQ(bucket.grant(at({}), 700, 600, retry_after)->tokens, 600U);
    EXPECT_FALSE(bucket.grant(at({}), 10, 0, retry_after));
    EXPECT_EQ(retry_after, milliseconds(250));
    EXPECT_EQ(bucket.grant(at({}), 700, 20, retry_after)->tokens, 20U);
    EXPECT_FALSE(bucket.grant(at({}), 60, 60, retry_after));
    // Refill waits for the grants to expire, since level and outstanding tokens reach the burst.
    EXPECT_EQ(retry_after, milliseconds(3'500));
}

// Guards against a Retry-After after which the same request is refused again.
TEST(workspace_bucket, retry_after_waits_for_grants_that_block_refill)
{
    workspace_bucket bucket(at({}), 7, 100, 100, level::full);
    base::duration retry_after{};
    ASSERT_TRUE(bucket.grant(at({}), 100, 100, retry_after));
    EXPECT_FALSE(bucket.grant(at({}), 10, 10, retry_after));
    EXPECT_EQ(retry_after, milliseconds(3'100));
    EXPECT_FALSE(bucket.grant(at(seconds(3)), 10, 10, retry_after));
    EXPECT_TRUE(bucket.grant(at(milliseconds(3'100)), 10, 10, retry_after));
    EXPECT_FALSE(bucket.grant(at({}), 101, 101, retry_after));
    EXPECT_EQ(retry_after, seconds(0));
}

// Guards against tokens that return twice when a report is repeated or out of order.
TEST(workspace_bucket, repeated_reports_return_tokens_once)
{
    workspace_bucket bucket(at({}), 7, 0, 1000, level::full);
    base::duration retry_after{};
    auto const grant = bucket.grant(at({}), 1000, 1000, retry_after);
    EXPECT_TRUE(bucket.apply_usage_report(at({}), grant->id, 100, 300));
    EXPECT_TRUE(bucket.apply_usage_report(at({}), grant->id, 100, 300));
    EXPECT_TRUE(bucket.apply_usage_report(at({}), grant->id, 50, 100));
    EXPECT_EQ(bucket.level(at({})), 300);
    EXPECT_EQ(bucket.outstanding(at({})), 600U);
    EXPECT_FALSE(bucket.apply_usage_report(at({}), grant->id + 1, 0, 10));
}

// Guards against counting the whole reservation of a long request as used.
TEST(workspace_bucket, late_report_returns_unused_tokens_of_expired_grant)
{
    workspace_bucket bucket(at({}), 7, 0, 1000, level::full);
    base::duration retry_after{};
    auto const grant = bucket.grant(at({}), 1000, 1000, retry_after);
    EXPECT_EQ(bucket.reclaimable(at(seconds(3))), 1000U);
    EXPECT_TRUE(bucket.apply_usage_report(at(seconds(60)), grant->id, 400, 600));
    EXPECT_EQ(bucket.level(at(seconds(60))), 600);
    EXPECT_EQ(bucket.reclaimable(at(seconds(60))), 0U);
}

// Guards against a late report that returns tokens which refill has already replaced.
TEST(workspace_bucket, refill_replaces_reclaimable_tokens)
{
    workspace_bucket bucket(at({}), 7, 100, 1000, level::full);
    base::duration retry_after{};
    auto const grant = bucket.grant(at({}), 1000, 1000, retry_after);
    EXPECT_EQ(bucket.level(at(seconds(9))), 600);
    EXPECT_EQ(bucket.reclaimable(at(seconds(9))), 400U);
    bucket.apply_usage_report(at(seconds(9)), grant->id, 0, 1000);
    EXPECT_EQ(bucket.level(at(seconds(9))), 1000);
}

// Guards against usage above the grant that is never debited from the level.
TEST(workspace_bucket, usage_above_the_grant_is_debited_once)
{
    workspace_bucket bucket(at({}), 7, 10, 1000, level::full);
    base::duration retry_after{};
    auto const grant = bucket.grant(at({}), 900, 900, retry_after);
    bucket.apply_usage_report(at({}), grant->id, 1300, 0);
    EXPECT_EQ(bucket.level(at({})), -300);
    bucket.apply_usage_report(at({}), grant->id, 1300, 0);
    EXPECT_EQ(bucket.level(at({})), -300);
    EXPECT_FALSE(bucket.grant(at({}), 1, 1, retry_after));
    EXPECT_EQ(retry_after, milliseconds(30'100));
}

// Guards against a bucket that keeps more tokens than its new burst.
TEST(workspace_bucket, smaller_burst_drops_tokens_and_larger_burst_adds_none)
{
    workspace_bucket bucket(at({}), 7, 10, 1000, level::full);
    bucket.configure(at({}), 10, 100);
    EXPECT_EQ(bucket.level(at({})), 100);
    bucket.configure(at({}), 20, 1000);
    EXPECT_EQ(bucket.level(at({})), 100);
    EXPECT_EQ(bucket.level(at(seconds(1))), 120);
}

// Guards against an order of calls after which level, outstanding and reclaimable tokens exceed the
// burst.
TEST(workspace_bucket, never_holds_more_than_burst)
{
    tests::check_seeded(
        0x21, 2000,
        []
        {
            auto const rate = *rc::gen::inRange<std::uint64_t>(0, 100'000);
            auto const burst = *rc::gen::inRange<std::uint64_t>(1, 100'000);
            workspace_bucket bucket(at({}), 7, rate, burst, level::full);
            std::vector<token_grant> grants;
            auto now = at({});
            auto const steps = *rc::gen::inRange(1, 60);
            for (int n = 0; n < steps; ++n)
            {
                now += base::duration(*rc::gen::inRange<std::int64_t>(0, 1'500'000));
                base::duration retry_after{};
                if (*rc::gen::inRange(0, 2) == 0)
                {
                    auto const tokens = *rc::gen::inRange<std::uint64_t>(1, burst + 1);
                    auto const grant = bucket.grant(now, tokens, tokens, retry_after);
                    if (grant)
                        grants.push_back(*grant);
                    else if (retry_after > base::duration::zero() && *rc::gen::inRange(0, 2) == 0)
                    {
                        now += retry_after;
                        RC_ASSERT(bucket.grant(now, tokens, tokens, retry_after).has_value());
                    }
                }
                else if (!grants.empty())
                {
                    auto const& grant = *rc::gen::elementOf(grants);
                    auto const used = *rc::gen::inRange<std::uint64_t>(0, grant.tokens + 1);
                    bucket.apply_usage_report(
                        now, grant.id, used,
                        *rc::gen::inRange<std::uint64_t>(0, grant.tokens - used + 1));
                }
                auto const sum = bucket.level(now) +
                                 static_cast<std::int64_t>(bucket.outstanding(now)) +
                                 static_cast<std::int64_t>(bucket.reclaimable(now));
                RC_ASSERT(sum <= static_cast<std::int64_t>(burst));
            }
        });
}

} // namespace
} // namespace savorymount::limits
