#include <savorymount/limits/grant_pool.hpp>

#include <gtest/gtest.h>

#include <tests/libraries/time_points.hpp>

namespace savorymount::limits
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using decision = admission::decision;
using tests::at;

request_grant only_request(std::vector<grant_action> const& actions)
{
    EXPECT_EQ(actions.size(), 1U);
    return std::get<request_grant>(actions.at(0));
}

report_usage only_report(std::vector<grant_action> const& actions)
{
    std::vector<report_usage> out;
    for (auto const& it : actions)
    {
        if (std::holds_alternative<report_usage>(it))
            out.push_back(std::get<report_usage>(it));
    }
    EXPECT_EQ(out.size(), 1U);
    return out.at(0);
}

grant_pool pool_with_owner(std::uint64_t fencing_token = 7)
{
    grant_pool out(1000, 10'000);
    out.on_owner_changed(at({}), fencing_token, true);
    return out;
}

// Admits a request of `needed` tokens from a new grant of `tokens`.
std::uint64_t admit_first(grant_pool& pool, std::uint64_t tokens, std::uint64_t needed)
{
    EXPECT_EQ(pool.admit(at({}), needed).result, decision::waiting);
    auto const request = only_request(pool.take_actions(at({})));
    pool.on_grant_received(at({}), request.request_id, {1, tokens, seconds(2), 7});
    auto const result = pool.admit(at({}), needed, false);
    EXPECT_EQ(result.result, decision::admitted);
    pool.take_actions(at({}));
    return result.reservation;
}

// Guards against a message to the owner for each request.
TEST(grant_pool, one_grant_serves_many_requests)
{
    auto pool = pool_with_owner();
    admit_first(pool, 1000, 10);
    for (int n = 0; n < 50; ++n)
        EXPECT_EQ(pool.admit(at({}), 10).result, decision::admitted);
    EXPECT_EQ(pool.available(at({})), 490U);
}

// Guards against requests that wait forever while there is no owner.
TEST(grant_pool, without_owner_requests_are_unavailable)
{
    grant_pool pool(1000, 10'000);
    EXPECT_EQ(pool.admit(at({}), 10).result, decision::unavailable);
    pool.on_owner_changed(at({}), 7, false);
    EXPECT_EQ(pool.admit(at({}), 10).result, decision::unavailable);
    EXPECT_TRUE(pool.take_actions(at({})).empty());
}

// Guards against a Retry-After for a request that can never succeed.
TEST(grant_pool, request_above_burst_is_too_large)
{
    auto pool = pool_with_owner();
    EXPECT_EQ(pool.admit(at({}), 10'001), (admission{decision::too_large, 0, {}}));
}

// Guards against use of a grant after it has expired at the owner: its lifetime counts from before
// the request, not from the response.
TEST(grant_pool, grant_lifetime_counts_from_request)
{
    auto pool = pool_with_owner();
    pool.admit(at({}), 10);
    auto const request = only_request(pool.take_actions(at({})));
    pool.on_grant_received(at(milliseconds(900)), request.request_id, {1, 100, seconds(2), 7});
    EXPECT_EQ(pool.available(at(milliseconds(1999))), 100U);
    EXPECT_EQ(pool.available(at(seconds(2))), 0U);
    EXPECT_EQ(only_report(pool.take_actions(at(seconds(2)))), (report_usage{7, 1, 0, 100}));
}

// Guards against use of grants of a replaced owner.
TEST(grant_pool, grants_under_older_fencing_tokens_are_dropped)
{
    auto pool = pool_with_owner();
    admit_first(pool, 1000, 10);
    pool.admit(at({}), 5000);
    auto const request = only_request(pool.take_actions(at({})));
    pool.on_owner_changed(at({}), 8, true);
    EXPECT_EQ(pool.available(at({})), 0U);
    pool.on_grant_received(at({}), request.request_id, {2, 5000, seconds(2), 7});
    EXPECT_EQ(pool.available(at({})), 0U);
    pool.on_owner_changed(at({}), 7, true);
    EXPECT_EQ(pool.fencing_token(), 8U);
}

// Guards against a response that arrives twice and is counted twice.
TEST(grant_pool, repeated_grant_is_counted_once)
{
    auto pool = pool_with_owner();
    pool.admit(at({}), 10);
    auto const request = only_request(pool.take_actions(at({})));
    pool.on_grant_received(at({}), request.request_id, {1, 100, seconds(2), 7});
    pool.on_grant_received(at({}), request.request_id, {1, 100, seconds(2), 7});
    EXPECT_EQ(pool.available(at({})), 100U);
}

// Guards against loss of the unused tokens of a finished request.
TEST(grant_pool, unused_tokens_return_to_a_live_grant_or_to_the_owner)
{
    auto pool = pool_with_owner();
    auto const first_reservation = admit_first(pool, 1000, 400);
    auto const second_reservation = pool.admit(at({}), 600).reservation;
    EXPECT_EQ(pool.available(at({})), 0U);
    pool.complete(at(seconds(1)), first_reservation, 100);
    EXPECT_EQ(pool.available(at(seconds(1))), 300U);
    EXPECT_EQ(only_report(pool.take_actions(at(seconds(2)))), (report_usage{7, 1, 100, 300}));
    pool.complete(at(seconds(5)), second_reservation, 200);
    EXPECT_EQ(only_report(pool.take_actions(at(seconds(6)))), (report_usage{7, 1, 300, 700}));
    EXPECT_FALSE(pool.next_tick());
}

// Guards against long requests whose whole reservation counts against the burst: prompt and
// generated tokens are known to be used before the request ends.
TEST(grant_pool, progress_reports_used_tokens)
{
    auto pool = pool_with_owner();
    auto const reservation = admit_first(pool, 1000, 1000);
    pool.record_progress(at(seconds(1)), reservation, 600);
    EXPECT_EQ(only_report(pool.take_actions(at(seconds(2)))), (report_usage{7, 1, 600, 0}));
    pool.record_progress(at(seconds(3)), reservation, 700);
    pool.record_progress(at(seconds(3)), reservation, 650);
    EXPECT_EQ(only_report(pool.take_actions(at(seconds(4)))), (report_usage{7, 1, 700, 0}));
    pool.complete(at(seconds(5)), reservation, 800);
    EXPECT_EQ(only_report(pool.take_actions(at(seconds(6)))), (report_usage{7, 1, 800, 200}));
}

// Guards against refusing requests because a prefetch was refused.
TEST(grant_pool, refused_prefetch_does_not_refuse_requests)
{
    auto pool = pool_with_owner();
    admit_first(pool, 400, 300);
    pool.admit(at(milliseconds(10)), 90);
    auto const request = only_request(pool.take_actions(at(milliseconds(10))));
    pool.on_grant_refused(at(milliseconds(10)), request.request_id, seconds(1));
    EXPECT_EQ(pool.admit(at(milliseconds(20)), 500).result, decision::waiting);
    EXPECT_EQ(only_request(pool.take_actions(at(milliseconds(20)))).min_tokens, 490U);
}

// Guards against a message per refused request of a workspace over its rate.
TEST(grant_pool, refusal_applies_until_retry_after)
{
    auto pool = pool_with_owner();
    pool.admit(at({}), 500);
    auto const request = only_request(pool.take_actions(at({})));
    pool.on_grant_refused(at({}), request.request_id, milliseconds(400));
    EXPECT_EQ(pool.admit(at(milliseconds(100)), 500),
              (admission{decision::refused, 0, milliseconds(300)}));
    // Larger requests have to wait for more refill.
    EXPECT_EQ(pool.admit(at(milliseconds(100)), 600),
              (admission{decision::refused, 0, milliseconds(400)}));
    EXPECT_TRUE(pool.take_actions(at(milliseconds(100))).empty());
    EXPECT_EQ(pool.admit(at(milliseconds(400)), 500).result, decision::waiting);
}

// Guards against requests that wait for a lost response.
TEST(grant_pool, lost_grant_request_times_out)
{
    auto pool = pool_with_owner();
    pool.admit(at({}), 500);
    auto const request = only_request(pool.take_actions(at({})));
    EXPECT_EQ(pool.next_tick(), at(seconds(1)));
    EXPECT_EQ(pool.admit(at(seconds(1)), 500, false).result, decision::unavailable);
    // The response may still arrive; the grant lifetime counts from the request.
    pool.on_grant_received(at(milliseconds(1200)), request.request_id, {1, 600, seconds(2), 7});
    EXPECT_EQ(pool.admit(at(milliseconds(1200)), 500, false).result, decision::admitted);
}

// Guards against requesting the next grant only after the last one is used up.
TEST(grant_pool, prefetches_by_recent_demand)
{
    auto pool = pool_with_owner();
    admit_first(pool, 400, 300);
    // Recent demand is larger than the remaining tokens.
    EXPECT_EQ(pool.admit(at(milliseconds(10)), 90).result, decision::admitted);
    auto const request = only_request(pool.take_actions(at(milliseconds(10))));
    EXPECT_EQ(request.min_tokens, 0U);
    EXPECT_GT(request.tokens, 0U);
    EXPECT_LE(request.tokens, 1250U);
}

} // namespace
} // namespace savorymount::limits
