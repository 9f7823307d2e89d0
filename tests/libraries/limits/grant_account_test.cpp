#include <savorymount/limits/grant_account.hpp>

#include <gtest/gtest.h>

#include <tests/libraries/time_points.hpp>

namespace savorymount::limits
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using verdict = admission::verdict;
using tests::at;

ask_for_grant only_ask(std::vector<grant_action> const& actions)
{
    EXPECT_EQ(actions.size(), 1U);
    return std::get<ask_for_grant>(actions.at(0));
}

report_use only_report(std::vector<grant_action> const& actions)
{
    std::vector<report_use> out;
    for (auto const& it : actions)
    {
        if (std::holds_alternative<report_use>(it))
            out.push_back(std::get<report_use>(it));
    }
    EXPECT_EQ(out.size(), 1U);
    return out.at(0);
}

grant_account account_with_owner(std::uint64_t fence = 7)
{
    grant_account out(1000, 10'000);
    out.owner_known(at({}), fence, true);
    return out;
}

// Admits a first request, so that the account holds `tokens` minus that request's.
std::uint64_t admit_first(grant_account& account, std::uint64_t tokens, std::uint64_t need)
{
    EXPECT_EQ(account.admit(at({}), need).result, verdict::waiting);
    auto const ask = only_ask(account.actions(at({})));
    account.grant_received(at({}), ask.request, {1, tokens, seconds(2), 7});
    auto const result = account.admit(at({}), need, false);
    EXPECT_EQ(result.result, verdict::admitted);
    account.actions(at({}));
    return result.reservation;
}

// Guards against a message to the owner for each request.
TEST(grant_account, one_grant_serves_many_requests)
{
    auto account = account_with_owner();
    admit_first(account, 1000, 10);
    for (int n = 0; n < 50; ++n)
        EXPECT_EQ(account.admit(at({}), 10).result, verdict::admitted);
    EXPECT_EQ(account.available(at({})), 490U);
}

// Guards against requests without an owner that wait for ever.
TEST(grant_account, without_owner_requests_are_unavailable)
{
    grant_account account(1000, 10'000);
    EXPECT_EQ(account.admit(at({}), 10).result, verdict::unavailable);
    account.owner_known(at({}), 7, false);
    EXPECT_EQ(account.admit(at({}), 10).result, verdict::unavailable);
    EXPECT_TRUE(account.actions(at({})).empty());
}

// Guards against a Retry-After for a request that can never succeed.
TEST(grant_account, request_above_burst_is_refused_for_good)
{
    auto account = account_with_owner();
    EXPECT_EQ(account.admit(at({}), 10'001), (admission{verdict::too_large, 0, {}}));
}

// Guards against use of a grant after the owner has forgotten it: the lifetime counts from before
// the ask, not from its answer.
TEST(grant_account, grant_ends_by_time_of_ask)
{
    auto account = account_with_owner();
    account.admit(at({}), 10);
    auto const ask = only_ask(account.actions(at({})));
    account.grant_received(at(milliseconds(900)), ask.request, {1, 100, seconds(2), 7});
    EXPECT_EQ(account.available(at(milliseconds(1999))), 100U);
    EXPECT_EQ(account.available(at(seconds(2))), 0U);
    EXPECT_EQ(only_report(account.actions(at(seconds(2)))), (report_use{7, 1, 0, 100}));
}

// Guards against a grant of an owner that has been replaced.
TEST(grant_account, older_fencing_tokens_are_refused)
{
    auto account = account_with_owner();
    admit_first(account, 1000, 10);
    account.admit(at({}), 5000);
    auto const ask = only_ask(account.actions(at({})));
    account.owner_known(at({}), 8, true);
    EXPECT_EQ(account.available(at({})), 0U);
    account.grant_received(at({}), ask.request, {2, 5000, seconds(2), 7});
    EXPECT_EQ(account.available(at({})), 0U);
    account.owner_known(at({}), 7, true);
    EXPECT_EQ(account.fence(), 8U);
}

// Guards against a late answer to a repeated ask that is counted twice.
TEST(grant_account, answer_is_taken_once)
{
    auto account = account_with_owner();
    account.admit(at({}), 10);
    auto const ask = only_ask(account.actions(at({})));
    account.grant_received(at({}), ask.request, {1, 100, seconds(2), 7});
    account.grant_received(at({}), ask.request, {1, 100, seconds(2), 7});
    EXPECT_EQ(account.available(at({})), 100U);
}

// Guards against unused tokens of a finished request that are lost to the workspace.
TEST(grant_account, unused_tokens_return_to_a_live_grant_or_to_the_owner)
{
    auto account = account_with_owner();
    auto const early = admit_first(account, 1000, 400);
    auto const late = account.admit(at({}), 600).reservation;
    EXPECT_EQ(account.available(at({})), 0U);
    account.complete(at(seconds(1)), early, 100);
    EXPECT_EQ(account.available(at(seconds(1))), 300U);
    EXPECT_EQ(only_report(account.actions(at(seconds(2)))), (report_use{7, 1, 100, 300}));
    account.complete(at(seconds(5)), late, 200);
    EXPECT_EQ(only_report(account.actions(at(seconds(6)))), (report_use{7, 1, 300, 700}));
    EXPECT_FALSE(account.next_tick());
}

// Guards against a workspace whose long requests count their whole reservation against the burst:
// prompts and generated tokens are certain before the end.
TEST(grant_account, progress_reports_certain_use)
{
    auto account = account_with_owner();
    auto const reservation = admit_first(account, 1000, 1000);
    account.progress(at(seconds(1)), reservation, 600);
    EXPECT_EQ(only_report(account.actions(at(seconds(2)))), (report_use{7, 1, 600, 0}));
    account.progress(at(seconds(3)), reservation, 700);
    account.progress(at(seconds(3)), reservation, 650);
    EXPECT_EQ(only_report(account.actions(at(seconds(4)))), (report_use{7, 1, 700, 0}));
    account.complete(at(seconds(5)), reservation, 800);
    EXPECT_EQ(only_report(account.actions(at(seconds(6)))), (report_use{7, 1, 800, 200}));
}

// Guards against requests that are refused because an ask ahead of need was.
TEST(grant_account, refused_ask_ahead_does_not_refuse_requests)
{
    auto account = account_with_owner();
    admit_first(account, 400, 300);
    account.admit(at(milliseconds(10)), 90);
    auto const ask = only_ask(account.actions(at(milliseconds(10))));
    account.grant_refused(at(milliseconds(10)), ask.request, seconds(1));
    EXPECT_EQ(account.admit(at(milliseconds(20)), 500).result, verdict::waiting);
    EXPECT_EQ(only_ask(account.actions(at(milliseconds(20)))).least, 490U);
}

// Guards against a message per refused request of a workspace over its rate.
TEST(grant_account, refusal_holds_until_retry_can_help)
{
    auto account = account_with_owner();
    account.admit(at({}), 500);
    auto const ask = only_ask(account.actions(at({})));
    account.grant_refused(at({}), ask.request, milliseconds(400));
    EXPECT_EQ(account.admit(at(milliseconds(100)), 500),
              (admission{verdict::refused, 0, milliseconds(300)}));
    // Larger requests need more of the refill.
    EXPECT_EQ(account.admit(at(milliseconds(100)), 600),
              (admission{verdict::refused, 0, milliseconds(400)}));
    EXPECT_TRUE(account.actions(at(milliseconds(100))).empty());
    EXPECT_EQ(account.admit(at(milliseconds(400)), 500).result, verdict::waiting);
}

// Guards against requests that wait for an answer that was lost.
TEST(grant_account, lost_ask_ends_after_its_timeout)
{
    auto account = account_with_owner();
    account.admit(at({}), 500);
    auto const ask = only_ask(account.actions(at({})));
    EXPECT_EQ(account.next_tick(), at(seconds(1)));
    EXPECT_EQ(account.admit(at(seconds(1)), 500, false).result, verdict::unavailable);
    // The answer may still come; its tokens count from the ask.
    account.grant_received(at(milliseconds(1200)), ask.request, {1, 600, seconds(2), 7});
    EXPECT_EQ(account.admit(at(milliseconds(1200)), 500, false).result, verdict::admitted);
}

// Guards against a next grant that is asked for only when the last one is used up.
TEST(grant_account, asks_ahead_of_need)
{
    auto account = account_with_owner();
    admit_first(account, 400, 300);
    // Recent demand is larger than what is left.
    EXPECT_EQ(account.admit(at(milliseconds(10)), 90).result, verdict::admitted);
    auto const ask = only_ask(account.actions(at(milliseconds(10))));
    EXPECT_EQ(ask.least, 0U);
    EXPECT_GT(ask.tokens, 0U);
    EXPECT_LE(ask.tokens, 1250U);
}

} // namespace
} // namespace savorymount::limits
