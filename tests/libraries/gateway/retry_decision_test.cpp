#include <savorymount/gateway/retry_decision.hpp>

#include <gtest/gtest.h>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;
using configuration::repeat_rule;

attempt_history history(repeat_rule rule, std::uint32_t sent)
{
    attempt_history out;
    out.repeatability = rule;
    out.max_attempts = 2;
    out.attempts_sent = sent;
    out.time_left = 1s;
    out.retries_available = 5;
    return out;
}

// Guards against executing a non-repeatable request, such as a booking, twice.
TEST(retry_decision, retries_a_request_that_may_have_run_only_if_it_is_repeatable)
{
    for (auto const rule : {repeat_rule::unsafe, repeat_rule::streaming})
    {
        auto it = history(rule, 1);
        it.may_have_run = true;
        EXPECT_FALSE(may_retry(attempt_failure::outcome_unknown, it));
        EXPECT_FALSE(may_retry(attempt_failure::failure_response, it));
        it.may_have_run = false;
        EXPECT_TRUE(may_retry(attempt_failure::rejected, it));
    }
    auto safe = history(repeat_rule::safe, 1);
    safe.may_have_run = true;
    EXPECT_TRUE(may_retry(attempt_failure::outcome_unknown, safe));
    auto stream = history(repeat_rule::streaming, 1);
    stream.may_have_run = true;
    stream.resumable = true;
    EXPECT_TRUE(may_retry(attempt_failure::outcome_unknown, stream));
}

// Guards against more attempts than the route allows, and against retries beyond the quota.
TEST(retry_decision, respects_the_attempt_limit_and_the_retry_quota)
{
    EXPECT_FALSE(may_retry(attempt_failure::rejected, history(repeat_rule::safe, 2)));
    auto without_quota = history(repeat_rule::safe, 1);
    without_quota.retries_available = 0.9;
    EXPECT_FALSE(may_retry(attempt_failure::outcome_unknown, without_quota));
    EXPECT_TRUE(may_retry(attempt_failure::not_sent, without_quota));
    without_quota.attempts_not_sent = 4;
    EXPECT_FALSE(may_retry(attempt_failure::not_sent, without_quota));
}

// Guards against refusing a request whose only attempt met the successor of an upstream that had
// ended: nothing ran it. The attempt was sent, so it needs a retry of the quota, and the number of
// such attempts is bounded.
TEST(retry_decision, retries_after_an_ended_upstream_beyond_the_attempt_limit_within_the_quota)
{
    auto it = history(repeat_rule::unsafe, 0);
    it.max_attempts = 1;
    it.attempts_not_sent = 1;
    EXPECT_TRUE(may_retry(attempt_failure::upstream_ended, it));
    it.retries_available = 0.9;
    EXPECT_FALSE(may_retry(attempt_failure::upstream_ended, it));
    it.retries_available = 5;
    it.attempts_not_sent = 4;
    EXPECT_FALSE(may_retry(attempt_failure::upstream_ended, it));
    it.attempts_not_sent = 1;
    it.attempts_sent = 1;
    EXPECT_FALSE(may_retry(attempt_failure::upstream_ended, it));
}

// Guards against an attempt that can't finish before the deadline.
TEST(retry_decision, does_not_retry_without_enough_time_left)
{
    auto short_of_time = history(repeat_rule::safe, 1);
    short_of_time.time_left = 10ms;
    EXPECT_FALSE(may_retry(attempt_failure::not_sent, short_of_time));
}

} // namespace
} // namespace savorymount::gateway
