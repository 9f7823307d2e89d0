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

// Guards against sending requests to an upstream that announced its shutdown, also when an older
// record is read after the newer one.
TEST(upstream_table, excludes_draining_upstreams)
{
    upstream_table table;
    auto draining_record = upstream("a");
    draining_record.draining = true;
    table.apply_listing(at(0s), upstream("a"));
    table.apply_listing(at(1s), draining_record);
    EXPECT_TRUE(table.candidates(at(1s), "taalpool").empty());
    table.apply_listing(at(2s), upstream("a"));
    EXPECT_TRUE(table.candidates(at(2s), "taalpool").empty());
}

// Guards against dropping running upstreams because the list was unavailable, and against keeping
// upstreams that were removed.
TEST(upstream_table, keeps_upstreams_for_two_seconds_after_a_list_outage)
{
    upstream_table table;
    table.apply_listing(at(0s), upstream("a"));
    table.apply_listing(at(0s), upstream("b"));
    table.remove_listing(at(1s), "a", at(100ms));
    table.remove_listing(at(1s), "b", std::nullopt);
    table.expire(at(2900ms));
    EXPECT_EQ(table.candidates(at(2900ms), "taalpool").size(), 1U);
    table.expire(at(3100ms));
    EXPECT_TRUE(table.candidates(at(3100ms), "taalpool").empty());
}

// Guards against an upstream that is used for two seconds after its removal was read, which may be
// long after the end of the outage.
TEST(upstream_table, the_time_to_be_listed_again_counts_from_the_end_of_the_outage)
{
    upstream_table table;
    table.apply_listing(at(0s), upstream("a"));
    table.apply_listing(at(0s), upstream("b"));
    table.remove_listing(at(2500ms), "a", at(100ms));
    EXPECT_EQ(table.candidates(at(2900ms), "taalpool").size(), 2U);
    EXPECT_EQ(table.candidates(at(3100ms), "taalpool").size(), 1U);
    EXPECT_TRUE(table.accepts_requests(at(2900ms), "a"));
    EXPECT_FALSE(table.accepts_requests(at(3100ms), "a"));
    table.remove_listing(at(3500ms), "b", at(100ms));
    EXPECT_TRUE(table.candidates(at(3500ms), "taalpool").empty());
}

// Guards against a request that waits for its connection and is sent to an upstream that has left
// meanwhile.
TEST(upstream_table, an_upstream_that_was_removed_accepts_no_request)
{
    upstream_table table;
    table.apply_listing(at(0s), upstream("a"));
    EXPECT_TRUE(table.accepts_requests(at(1s), "a"));
    table.remove_listing(at(1s), "a", std::nullopt);
    EXPECT_FALSE(table.accepts_requests(at(1s), "a"));
}

// Guards against an outdated record in the list that resets a newer weight version.
TEST(upstream_table, weight_versions_never_decrease_within_one_incarnation)
{
    upstream_table table;
    table.apply_listing(at(0s), upstream("a", 1));
    table.weights_observed("a", "crew", 3);
    table.apply_listing(at(1s), upstream("a", 2));
    EXPECT_EQ(table.find("a")->weight_version("crew"), 3U);
    auto restarted = upstream("a", 2);
    restarted.started_unix_ms = 9;
    table.apply_listing(at(2s), restarted);
    EXPECT_EQ(table.find("a")->weight_version("crew"), 2U);
}

// Guards against repeated requests for a version that the upstream does not have.
TEST(upstream_table, falls_back_to_the_listed_version_after_a_rejection)
{
    upstream_table table;
    table.apply_listing(at(0s), upstream("a", 1));
    table.weights_observed("a", "crew", 2);
    table.weights_rejected("a", "crew", 2);
    EXPECT_EQ(table.find("a")->weight_version("crew"), 1U);
    table.weights_rejected("a", "crew", 1);
    EXPECT_EQ(table.find("a")->weight_version("crew"), 0U);
}

// Guards against sending requests to an upstream whose connections fail, and against refusing all
// requests when all upstreams are in backoff.
TEST(upstream_table, avoids_a_failing_upstream_while_another_is_available)
{
    upstream_table table;
    table.apply_listing(at(0s), upstream("a"));
    table.apply_listing(at(0s), upstream("b"));
    table.connection_failed(at(0s), "a");
    ASSERT_EQ(table.candidates(at(100ms), "taalpool").size(), 1U);
    EXPECT_EQ(table.candidates(at(100ms), "taalpool")[0]->record.id, "b");
    table.connection_failed(at(0s), "b");
    EXPECT_EQ(table.candidates(at(100ms), "taalpool").size(), 2U);
    EXPECT_EQ(table.candidates(at(1s), "taalpool").size(), 2U);
}

// Guards against counting connections that break at the same time as several failures.
TEST(upstream_table, doubles_the_backoff_only_after_another_failure)
{
    upstream_table table;
    table.apply_listing(at(0s), upstream("a"));
    for (int i = 0; i < 10; ++i)
        table.connection_failed(at(0s), "a");
    EXPECT_EQ(table.find("a")->backoff_until, at(300ms));
    table.connection_failed(at(400ms), "a");
    EXPECT_EQ(table.find("a")->backoff_until, at(1000ms));
}

// Guards against sending requests to an upstream that accepts them but does not respond.
TEST(upstream_table, detects_an_upstream_that_stopped_responding)
{
    upstream_table table;
    table.apply_listing(at(0s), upstream("a"));
    table.request_sent(at(0s), "a", {100, 200});
    EXPECT_FALSE(is_stalled(at(600ms), *table.find("a")));
    EXPECT_TRUE(is_stalled(at(800ms), *table.find("a")));
    table.response_started(at(800ms), "a", {100, 200});
    EXPECT_FALSE(is_stalled(at(1600ms), *table.find("a")));
}

// Guards against requests that are missing from the load or counted twice.
TEST(upstream_table, adds_requests_of_all_instances)
{
    upstream_table table;
    table.apply_listing(at(0s), upstream("a"));
    table.request_sent(at(0s), "a", {100, 200});
    table.set_peer_use("other", {{"a", {4, 900}}});
    EXPECT_DOUBLE_EQ(table.find("a")->active_requests(at(0s)), 5);
    EXPECT_DOUBLE_EQ(table.find("a")->tokens_in_use(), 1100);
    EXPECT_EQ(table.local_use().at("a"), (upstream_use{1, 200}));
    table.request_finished("a", false, {100, 200});
    table.set_peer_use("other", {});
    EXPECT_DOUBLE_EQ(table.find("a")->active_requests(at(0s)), 0);
    EXPECT_TRUE(table.local_use().empty());
}

} // namespace
} // namespace savorymount::routing
