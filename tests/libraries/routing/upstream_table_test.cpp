#include <savorymount/routing/upstream_table.hpp>

#include <gtest/gtest.h>

#include <tests/libraries/time_points.hpp>

namespace savorymount::routing
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

membership::upstream_record upstream(std::string const& id, std::uint64_t version = 1)
{
    membership::upstream_record out;
    out.id = id;
    out.service = "taalpool";
    out.slots = 6;
    out.weights["crew"] = version;
    return out;
}

// Guards against an upstream that announced its shutdown and gets new work, also when an older
// entry is read after the newer one.
TEST(upstream_table, gives_no_new_work_to_an_upstream_that_drains)
{
    upstream_table table;
    auto leaving = upstream("a");
    leaving.draining = true;
    table.listed(at(0s), upstream("a"));
    table.listed(at(1s), leaving);
    EXPECT_TRUE(table.candidates(at(1s), "taalpool").empty());
    table.listed(at(2s), upstream("a"));
    EXPECT_TRUE(table.candidates(at(2s), "taalpool").empty());
}

// Guards against a living upstream that is forgotten since the list was away, and against one that
// is kept although it is gone.
TEST(upstream_table, keeps_an_entry_that_lapsed_with_the_list_for_two_seconds)
{
    upstream_table table;
    table.listed(at(0s), upstream("a"));
    table.listed(at(0s), upstream("b"));
    table.unlisted(at(1s), "a", true);
    table.unlisted(at(1s), "b", false);
    table.expire(at(2900ms));
    EXPECT_EQ(table.candidates(at(2900ms), "taalpool").size(), 1U);
    table.expire(at(3100ms));
    EXPECT_TRUE(table.candidates(at(3100ms), "taalpool").empty());
}

// Guards against an entry of the list that lags behind and hides the new weights again.
TEST(upstream_table, does_not_take_weights_back_in_one_incarnation)
{
    upstream_table table;
    table.listed(at(0s), upstream("a", 1));
    table.weights_seen("a", "crew", 3);
    table.listed(at(1s), upstream("a", 2));
    EXPECT_EQ(table.find("a")->version_of("crew"), 3U);
    auto restarted = upstream("a", 2);
    restarted.started_unix_ms = 9;
    table.listed(at(2s), restarted);
    EXPECT_EQ(table.find("a")->version_of("crew"), 2U);
}

// Guards against requests for a version that the upstream has refused as not its own.
TEST(upstream_table, believes_the_list_after_a_version_was_denied)
{
    upstream_table table;
    table.listed(at(0s), upstream("a", 1));
    table.weights_seen("a", "crew", 2);
    table.weights_denied("a", "crew", 2);
    EXPECT_EQ(table.find("a")->version_of("crew"), 1U);
    table.weights_denied("a", "crew", 1);
    EXPECT_EQ(table.find("a")->version_of("crew"), 0U);
}

// Guards against work for an upstream whose connections fail, and against refusing everything when
// the evidence is against all of them.
TEST(upstream_table, avoids_a_failing_upstream_while_there_is_another)
{
    upstream_table table;
    table.listed(at(0s), upstream("a"));
    table.listed(at(0s), upstream("b"));
    table.failed(at(0s), "a");
    ASSERT_EQ(table.candidates(at(100ms), "taalpool").size(), 1U);
    EXPECT_EQ(table.candidates(at(100ms), "taalpool")[0]->record.id, "b");
    table.failed(at(0s), "b");
    EXPECT_EQ(table.candidates(at(100ms), "taalpool").size(), 2U);
    EXPECT_EQ(table.candidates(at(1s), "taalpool").size(), 2U);
}

// Guards against connections that break together counting as many failures.
TEST(upstream_table, doubles_the_avoidance_only_after_a_further_failure)
{
    upstream_table table;
    table.listed(at(0s), upstream("a"));
    for (int i = 0; i < 10; ++i)
        table.failed(at(0s), "a");
    EXPECT_EQ(table.find("a")->avoid_until, at(300ms));
    table.failed(at(400ms), "a");
    EXPECT_EQ(table.find("a")->avoid_until, at(1000ms));
}

// Guards against an upstream that went silent and goes on collecting requests.
TEST(upstream_table, notices_that_an_upstream_answers_nothing)
{
    upstream_table table;
    table.listed(at(0s), upstream("a"));
    table.dispatched(at(0s), "a", {100, 200});
    EXPECT_FALSE(looks_stalled(at(600ms), *table.find("a")));
    EXPECT_TRUE(looks_stalled(at(800ms), *table.find("a")));
    table.answered(at(800ms), "a", {100, 200});
    EXPECT_FALSE(looks_stalled(at(1600ms), *table.find("a")));
}

// Guards against a load that is forgotten or counted twice.
TEST(upstream_table, adds_own_requests_and_those_of_the_other_instances)
{
    upstream_table table;
    table.listed(at(0s), upstream("a"));
    table.dispatched(at(0s), "a", {100, 200});
    table.peer_load("other", {{"a", {4, 900}}});
    EXPECT_DOUBLE_EQ(table.find("a")->running(at(0s)), 5);
    EXPECT_DOUBLE_EQ(table.find("a")->tokens_in_use(), 1100);
    EXPECT_EQ(table.own_use().at("a"), (upstream_use{1, 200}));
    table.finished("a", false, {100, 200});
    table.peer_load("other", {});
    EXPECT_DOUBLE_EQ(table.find("a")->running(at(0s)), 0);
    EXPECT_TRUE(table.own_use().empty());
}

} // namespace
} // namespace savorymount::routing
