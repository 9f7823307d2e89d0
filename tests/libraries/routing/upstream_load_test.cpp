#include <savorymount/routing/upstream_load.hpp>

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

// Guards against sending a burst to one upstream because its last report still shows it as idle.
TEST(upstream_load, counts_requests_sent_since_the_report)
{
    upstream_load load(milliseconds(200));
    load.report(at(seconds(0)), 3, {2, 1, 1000});
    load.sent(at(milliseconds(300)), 3, 500);
    load_estimate const estimate = load.estimate(at(milliseconds(310)), 3);
    EXPECT_EQ(estimate.queued_tokens, 1500U);
    EXPECT_EQ(estimate.requests, 4U);
    EXPECT_EQ(estimate.report_age, milliseconds(310));
    load.prefill_finished(at(milliseconds(400)), 3, 500);
    load.finished(at(milliseconds(500)), 3);
    EXPECT_EQ(load.estimate(at(milliseconds(500)), 3).queued_tokens, 1000U);
    EXPECT_EQ(load.estimate(at(milliseconds(500)), 3).requests, 3U);
}

// Guards against dropping requests from the estimate that were sent too late to be included in a
// report.
TEST(upstream_load, requests_within_the_report_lag_are_kept_after_a_report)
{
    upstream_load load(milliseconds(200));
    load.report(at(seconds(0)), 3, {});
    load.sent(at(milliseconds(100)), 3, 100);
    load.sent(at(milliseconds(950)), 3, 500);
    load.report(at(seconds(1)), 3, {1, 0, 100});
    EXPECT_EQ(load.estimate(at(seconds(1)), 3).queued_tokens, 600U);
    load.report(at(seconds(2)), 3, {2, 0, 600});
    EXPECT_EQ(load.estimate(at(seconds(2)), 3).queued_tokens, 600U)
        << "the report now includes these requests";
}

// Guards against avoiding an upstream forever because its last report showed a high load.
TEST(upstream_load, stale_reports_are_ignored)
{
    upstream_load load(milliseconds(200));
    load.report(at(seconds(0)), 3, {9, 9, 1'000'000});
    load.sent(at(seconds(1)), 3, 40);
    EXPECT_EQ(load.estimate(at(seconds(4)), 3).queued_tokens, 1'000'040U);
    EXPECT_EQ(load.estimate(at(seconds(6)), 3).queued_tokens, 40U);
}

// Guards against underestimating the load of a restarted engine when requests end that were sent
// before the restart.
TEST(upstream_load, requests_that_end_after_reset_are_ignored)
{
    upstream_load load(milliseconds(200));
    load.sent(at(seconds(0)), 3, 500);
    load.reset(3);
    load.report(at(seconds(1)), 3, {4, 0, 800});
    load.prefill_finished(at(seconds(1)), 3, 500);
    load.finished(at(seconds(1)), 3);
    EXPECT_EQ(load.estimate(at(seconds(1)), 3).queued_tokens, 800U);
    EXPECT_EQ(load.estimate(at(seconds(1)), 3).requests, 4U);
    EXPECT_EQ(load.estimate(at(seconds(1)), 99), load_estimate{});
}

// Guards against an estimate below the open requests of this router instance.
RC_GTEST_PROP(upstream_load_properties, never_below_local_open_requests, ())
{
    upstream_load load(milliseconds(200));
    std::vector<std::uint64_t> open_request_tokens;
    std::uint64_t open_requests = 0;
    base::time_point now = at(seconds(0));
    int const steps = *rc::gen::inRange(1, 100);
    for (int i = 0; i < steps; ++i)
    {
        now += milliseconds(*rc::gen::inRange(0, 500));
        int const event = *rc::gen::inRange(0, 4);
        if (event == 0)
            load.report(now, 0, {*rc::gen::inRange(0U, 9U), 0, *rc::gen::inRange(0U, 999U)});
        if (event == 1)
        {
            open_request_tokens.push_back(*rc::gen::inRange(0U, 1000U));
            load.sent(now, 0, open_request_tokens.back());
            ++open_requests;
        }
        if (event == 2 && !open_request_tokens.empty())
        {
            load.prefill_finished(now, 0, open_request_tokens.back());
            load.finished(now, 0);
            open_request_tokens.pop_back();
            --open_requests;
        }
        std::uint64_t sum = 0;
        for (std::uint64_t it : open_request_tokens)
            sum += it;
        load_estimate const estimate = load.estimate(now, 0);
        RC_ASSERT(estimate.queued_tokens >= sum);
        RC_ASSERT(estimate.requests >= open_requests);
        RC_ASSERT(estimate.queued_tokens <= 1'000'000U);
    }
}

} // namespace
} // namespace savorymount::routing
