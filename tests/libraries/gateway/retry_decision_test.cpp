#include <savorymount/gateway/retry_decision.hpp>

#include <gtest/gtest.h>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;
using configuration::repeat_rule;

send_history history(repeat_rule kind, std::uint32_t sent)
{
    send_history out;
    out.kind = kind;
    out.max_attempts = 2;
    out.sent = sent;
    out.time_left = 1s;
    out.allowance = 5;
    return out;
}

// Guards against a booking that runs twice.
TEST(retry_decision, never_repeats_what_may_have_run_unless_it_is_repeatable)
{
    for (auto const kind : {repeat_rule::unsafe, repeat_rule::streaming})
    {
        auto it = history(kind, 1);
        it.may_have_run = true;
        EXPECT_FALSE(may_send_again(send_end::lost, it));
        EXPECT_FALSE(may_send_again(send_end::failed_answer, it));
        it.may_have_run = false;
        EXPECT_TRUE(may_send_again(send_end::rejected, it));
    }
    auto safe = history(repeat_rule::safe, 1);
    safe.may_have_run = true;
    EXPECT_TRUE(may_send_again(send_end::lost, safe));
    auto stream = history(repeat_rule::streaming, 1);
    stream.may_have_run = true;
    stream.resumable = true;
    EXPECT_TRUE(may_send_again(send_end::lost, stream));
}

// Guards against more sends than the route allows, and against repeats without a budget.
TEST(retry_decision, keeps_to_the_route_and_the_budget)
{
    EXPECT_FALSE(may_send_again(send_end::rejected, history(repeat_rule::safe, 2)));
    auto poor = history(repeat_rule::safe, 1);
    poor.allowance = 0.9;
    EXPECT_FALSE(may_send_again(send_end::lost, poor));
    EXPECT_TRUE(may_send_again(send_end::not_sent, poor));
    poor.not_sent = 4;
    EXPECT_FALSE(may_send_again(send_end::not_sent, poor));
}

// Guards against a send that can't be answered in time.
TEST(retry_decision, gives_up_when_no_time_is_left)
{
    auto late = history(repeat_rule::safe, 1);
    late.time_left = 10ms;
    EXPECT_FALSE(may_send_again(send_end::not_sent, late));
}

} // namespace
} // namespace savorymount::gateway
