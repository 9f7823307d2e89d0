#include <savorymount/retries/hedge_policy.hpp>
#include <savorymount/retries/retry_policy.hpp>

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

retry_budget full_budget()
{
    return {{0.1, 100.0, 100.0}, at(seconds(0))};
}
retry_budget empty_budget()
{
    return {{0.1, 0.0, 100.0}, at(seconds(0))};
}

retry_decision decide(attempt const& last)
{
    retry_budget budget = full_budget();
    return decide_retry(at(seconds(0)), last, budget);
}

attempt make_attempt(attempt_outcome outcome, bool repeatable)
{
    attempt out;
    out.outcome = outcome;
    out.repeatable = repeatable;
    return out;
}

// Guards against running a request twice that must run at most once, such as a booking.
TEST(retry_policy, requests_that_may_have_run_are_repeated_only_if_repeatable)
{
    EXPECT_EQ(decide(make_attempt(attempt_outcome::failed, false)), retry_decision::unknown);
    EXPECT_EQ(decide(make_attempt(attempt_outcome::failed, true)), retry_decision::retry_elsewhere);
    EXPECT_EQ(decide(make_attempt(attempt_outcome::refused, false)),
              retry_decision::retry_elsewhere);
    EXPECT_EQ(decide(make_attempt(attempt_outcome::not_sent, false)),
              retry_decision::retry_elsewhere);
    attempt later = make_attempt(attempt_outcome::refused, false);
    later.may_have_run = true;
    EXPECT_EQ(decide(later), retry_decision::unknown);
}

// Guards against a response that restarts from its beginning after part of it was delivered.
TEST(retry_policy, partial_responses_are_only_resumed)
{
    attempt partial = make_attempt(attempt_outcome::failed_partially, true);
    EXPECT_EQ(decide(partial), retry_decision::partial);
    partial.resumable = true;
    EXPECT_EQ(decide(partial), retry_decision::retry_elsewhere);
    partial.repeatable = false;
    EXPECT_EQ(decide(partial), retry_decision::partial);
}

// Guards against retrying a request that every agent would refuse.
TEST(retry_policy, requests_refused_everywhere_are_not_retried)
{
    EXPECT_EQ(decide(make_attempt(attempt_outcome::refused_everywhere, true)),
              retry_decision::not_run);
    EXPECT_EQ(decide(make_attempt(attempt_outcome::refused_everywhere, false)),
              retry_decision::not_run);
}

// Guards against retry storms: no retry without budget, beyond the limit or after the deadline.
TEST(retry_policy, attempts_are_bounded)
{
    retry_budget budget = empty_budget();
    EXPECT_EQ(decide_retry(at(seconds(0)), make_attempt(attempt_outcome::failed, true), budget),
              retry_decision::unknown);
    EXPECT_EQ(decide_retry(at(seconds(0)), make_attempt(attempt_outcome::refused, true), budget),
              retry_decision::not_run);
    EXPECT_EQ(decide_retry(at(seconds(0)), make_attempt(attempt_outcome::not_sent, true), budget),
              retry_decision::retry_elsewhere)
        << "nothing was sent, so the retry adds no load";
    attempt last = make_attempt(attempt_outcome::refused, true);
    last.attempts = max_attempts;
    EXPECT_EQ(decide(last), retry_decision::not_run);
    last.attempts = 1;
    last.time_left = base::duration(0);
    EXPECT_EQ(decide(last), retry_decision::not_run);
}

// Guards against combinations of inputs that violate at-most-once execution or report a request as
// not run although it may have run.
RC_GTEST_PROP(retry_policy_properties, requests_that_may_have_run_are_never_reported_as_not_run, ())
{
    attempt last;
    last.outcome = *rc::gen::element(attempt_outcome::refused, attempt_outcome::refused_everywhere,
                                     attempt_outcome::not_sent, attempt_outcome::failed,
                                     attempt_outcome::failed_partially);
    last.repeatable = *rc::gen::arbitrary<bool>();
    last.may_have_run = *rc::gen::arbitrary<bool>();
    last.resumable = *rc::gen::arbitrary<bool>();
    last.attempts = *rc::gen::inRange(1U, 6U);
    last.time_left = milliseconds(*rc::gen::inRange(-1, 5));
    retry_budget budget = *rc::gen::arbitrary<bool>() ? full_budget() : empty_budget();
    double const before = budget.available(at(seconds(0)));
    retry_decision const decision = decide_retry(at(seconds(0)), last, budget);
    bool const may_have_run = last.may_have_run || last.outcome == attempt_outcome::failed ||
                              last.outcome == attempt_outcome::failed_partially;
    if (may_have_run)
        RC_ASSERT(decision != retry_decision::not_run);
    if (may_have_run && !last.repeatable)
        RC_ASSERT(decision != retry_decision::retry_elsewhere);
    if (decision != retry_decision::retry_elsewhere)
        RC_ASSERT(budget.available(at(seconds(0))) == before);
}

// Guards against hedging a request that must run only once, and against hedging without known
// latencies.
TEST(hedge_policy, hedges_only_repeatable_requests_with_known_latencies)
{
    hedge_policy policy({});
    EXPECT_EQ(policy.hedging_delay(true), std::nullopt);
    for (int i = 0; i < 200; ++i)
        policy.record_latency(milliseconds(100));
    EXPECT_EQ(policy.hedging_delay(false), std::nullopt);
    ASSERT_TRUE(policy.hedging_delay(true));
    EXPECT_GE(*policy.hedging_delay(true), milliseconds(100));
    EXPECT_LE(*policy.hedging_delay(true), milliseconds(112));
    retry_budget budget = full_budget();
    EXPECT_FALSE(policy.should_hedge(at(seconds(0)), false, seconds(9), milliseconds(1), budget));
}

// Guards against hedges that are expected to be slower or that exceed the budget.
TEST(hedge_policy, hedges_only_when_the_hedge_is_expected_to_be_faster)
{
    hedge_policy policy({});
    for (int i = 0; i < 1000; ++i)
        policy.record_latency(i % 100 == 0 ? seconds(2) : milliseconds(100));
    base::duration const delay = *policy.hedging_delay(true);
    EXPECT_LE(delay, milliseconds(112)) << "one slow request in a hundred is within the slow share";
    retry_budget budget = full_budget();
    auto const now = at(seconds(0));
    EXPECT_FALSE(policy.should_hedge(now, true, delay / 2, milliseconds(1), budget));
    EXPECT_FALSE(policy.should_hedge(now, true, seconds(1), seconds(2), budget));
    EXPECT_TRUE(policy.should_hedge(now, true, seconds(1), milliseconds(200), budget));
    retry_budget exhausted = empty_budget();
    EXPECT_FALSE(policy.should_hedge(now, true, seconds(1), milliseconds(200), exhausted));
}

// Guards against a delay that would hedge more than the slow share of requests.
RC_GTEST_PROP(hedge_policy_properties, at_most_the_slow_share_exceeds_the_delay, ())
{
    hedge_policy policy({});
    std::vector<base::duration> latencies;
    int const count = *rc::gen::inRange(100, 400);
    for (int i = 0; i < count; ++i)
    {
        latencies.push_back(milliseconds(*rc::gen::inRange(1, 5000)));
        policy.record_latency(latencies.back());
    }
    base::duration const delay = *policy.hedging_delay(true);
    int slower = 0;
    for (base::duration it : latencies)
        slower += it > delay ? 1 : 0;
    RC_ASSERT(slower <= 0.05 * count);
}

// Guards against old latencies that dominate the delay forever.
TEST(hedge_policy, discounts_old_latencies)
{
    hedge_policy policy({});
    for (int i = 0; i < 20'000; ++i)
        policy.record_latency(seconds(5));
    for (int i = 0; i < 60'000; ++i)
        policy.record_latency(milliseconds(50));
    EXPECT_LE(*policy.hedging_delay(true), milliseconds(60));
}

} // namespace
} // namespace savorymount::retries
