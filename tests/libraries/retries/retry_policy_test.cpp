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

retry_verdict decide(attempt const& last)
{
    retry_budget budget = full_budget();
    return decide_retry(at(seconds(0)), last, budget);
}

attempt ended(attempt_end end, bool repeatable)
{
    attempt out;
    out.end = end;
    out.repeatable = repeatable;
    return out;
}

// Guards against a booking that runs twice.
TEST(retry_policy, requests_that_may_have_run_are_repeated_only_if_repeatable)
{
    EXPECT_EQ(decide(ended(attempt_end::failed, false)), retry_verdict::unknown);
    EXPECT_EQ(decide(ended(attempt_end::failed, true)), retry_verdict::try_elsewhere);
    EXPECT_EQ(decide(ended(attempt_end::refused, false)), retry_verdict::try_elsewhere);
    EXPECT_EQ(decide(ended(attempt_end::not_sent, false)), retry_verdict::try_elsewhere);
    attempt later = ended(attempt_end::refused, false);
    later.may_have_run = true;
    EXPECT_EQ(decide(later), retry_verdict::unknown);
}

// Guards against a stream that starts again from its beginning after part of it was delivered.
TEST(retry_policy, partial_responses_are_only_resumed)
{
    attempt partial = ended(attempt_end::failed_partially, true);
    EXPECT_EQ(decide(partial), retry_verdict::partial);
    partial.resumable = true;
    EXPECT_EQ(decide(partial), retry_verdict::try_elsewhere);
    partial.repeatable = false;
    EXPECT_EQ(decide(partial), retry_verdict::partial);
}

// Guards against a refusal that holds everywhere being tried at every agent.
TEST(retry_policy, refusals_that_hold_everywhere_are_final)
{
    EXPECT_EQ(decide(ended(attempt_end::refused_everywhere, true)), retry_verdict::not_run);
    EXPECT_EQ(decide(ended(attempt_end::refused_everywhere, false)), retry_verdict::not_run);
}

// Guards against retry storms: no attempt without budget, beyond the limit or after the deadline.
TEST(retry_policy, attempts_are_bounded)
{
    retry_budget budget = empty_budget();
    EXPECT_EQ(decide_retry(at(seconds(0)), ended(attempt_end::failed, true), budget),
              retry_verdict::unknown);
    EXPECT_EQ(decide_retry(at(seconds(0)), ended(attempt_end::refused, true), budget),
              retry_verdict::not_run);
    EXPECT_EQ(decide_retry(at(seconds(0)), ended(attempt_end::not_sent, true), budget),
              retry_verdict::try_elsewhere)
        << "nothing was sent, so nothing is amplified";
    attempt last = ended(attempt_end::refused, true);
    last.attempts = most_attempts;
    EXPECT_EQ(decide(last), retry_verdict::not_run);
    last.attempts = 1;
    last.time_left = base::duration(0);
    EXPECT_EQ(decide(last), retry_verdict::not_run);
}

// Guards against any combination that breaks at-most-once or claims "not run" for a request that
// may have run.
RC_GTEST_PROP(retry_policy_properties, verdicts_are_truthful, ())
{
    attempt last;
    last.end = *rc::gen::element(attempt_end::refused, attempt_end::refused_everywhere,
                                 attempt_end::not_sent, attempt_end::failed,
                                 attempt_end::failed_partially);
    last.repeatable = *rc::gen::arbitrary<bool>();
    last.may_have_run = *rc::gen::arbitrary<bool>();
    last.resumable = *rc::gen::arbitrary<bool>();
    last.attempts = *rc::gen::inRange(1U, 6U);
    last.time_left = milliseconds(*rc::gen::inRange(-1, 5));
    retry_budget budget = *rc::gen::arbitrary<bool>() ? full_budget() : empty_budget();
    double const before = budget.available(at(seconds(0)));
    retry_verdict const verdict = decide_retry(at(seconds(0)), last, budget);
    bool const may_have_run = last.may_have_run || last.end == attempt_end::failed ||
                              last.end == attempt_end::failed_partially;
    if (may_have_run)
        RC_ASSERT(verdict != retry_verdict::not_run);
    if (may_have_run && !last.repeatable)
        RC_ASSERT(verdict != retry_verdict::try_elsewhere);
    if (verdict != retry_verdict::try_elsewhere)
        RC_ASSERT(budget.available(at(seconds(0))) == before);
}

// Guards against a second copy of a request that may run only once, and against hedging blindly.
TEST(hedge_policy, only_repeatable_requests_with_known_latencies)
{
    hedge_policy policy({});
    EXPECT_EQ(policy.delay(true), std::nullopt);
    for (int i = 0; i < 200; ++i)
        policy.observed(milliseconds(100));
    EXPECT_EQ(policy.delay(false), std::nullopt);
    ASSERT_TRUE(policy.delay(true));
    EXPECT_GE(*policy.delay(true), milliseconds(100));
    EXPECT_LE(*policy.delay(true), milliseconds(112));
    retry_budget budget = full_budget();
    EXPECT_FALSE(policy.should_hedge(at(seconds(0)), false, seconds(9), milliseconds(1), budget));
}

// Guards against hedges that cost more than they save or exceed the budget.
TEST(hedge_policy, hedges_only_when_it_pays)
{
    hedge_policy policy({});
    for (int i = 0; i < 1000; ++i)
        policy.observed(i % 100 == 0 ? seconds(2) : milliseconds(100));
    base::duration const delay = *policy.delay(true);
    EXPECT_LE(delay, milliseconds(112)) << "one slow request in a hundred is within the slow share";
    retry_budget budget = full_budget();
    auto const now = at(seconds(0));
    EXPECT_FALSE(policy.should_hedge(now, true, delay / 2, milliseconds(1), budget));
    EXPECT_FALSE(policy.should_hedge(now, true, seconds(1), seconds(2), budget));
    EXPECT_TRUE(policy.should_hedge(now, true, seconds(1), milliseconds(200), budget));
    retry_budget none = empty_budget();
    EXPECT_FALSE(policy.should_hedge(now, true, seconds(1), milliseconds(200), none));
}

// Guards against a delay that hedges more than the slow share of requests.
RC_GTEST_PROP(hedge_policy_properties, delay_leaves_at_most_the_slow_share, ())
{
    hedge_policy policy({});
    std::vector<base::duration> latencies;
    int const count = *rc::gen::inRange(100, 400);
    for (int i = 0; i < count; ++i)
    {
        latencies.push_back(milliseconds(*rc::gen::inRange(1, 5000)));
        policy.observed(latencies.back());
    }
    base::duration const delay = *policy.delay(true);
    int slower = 0;
    for (base::duration it : latencies)
        slower += it > delay ? 1 : 0;
    RC_ASSERT(slower <= 0.05 * count);
}

// Guards against old latencies that decide for ever.
TEST(hedge_policy, forgets_old_latencies)
{
    hedge_policy policy({});
    for (int i = 0; i < 20'000; ++i)
        policy.observed(seconds(5));
    for (int i = 0; i < 60'000; ++i)
        policy.observed(milliseconds(50));
    EXPECT_LE(*policy.delay(true), milliseconds(60));
}

} // namespace
} // namespace savorymount::retries
