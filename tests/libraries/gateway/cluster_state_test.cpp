#include <savorymount/gateway/cluster_state.hpp>
#include <savorymount/membership/relay_buffer.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <tests/libraries/time_points.hpp>
#include <utility>
#include <vector>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

membership::upstream_record engine(std::int64_t started_unix_ms)
{
    membership::upstream_record out;
    out.id = "engine-1";
    out.service = "bench";
    out.started_unix_ms = started_unix_ms;
    return out;
}

std::vector<std::uint64_t> const parts{11, 12};

// Guards against fetching cached prompt parts from a restarted engine, whose cache is empty.
TEST(cluster_state, discards_the_prompt_parts_of_a_restarted_engine)
{
    cluster_state cluster({}, at(0s));
    cluster.upstream_listed(at(0s), engine(1));
    cluster.record_sent_parts(at(1s), parts, "engine-1");
    cluster.upstream_listed(at(2s), engine(1));
    EXPECT_EQ(cluster.part_locations().cached_prefix_length(at(2s), parts, "engine-1"), 2U);
    cluster.upstream_listed(at(3s), engine(2));
    EXPECT_EQ(cluster.part_locations().cached_prefix_length(at(3s), parts, "engine-1"), 0U);
}

// Guards against fetching cached prompt parts from an engine that is no longer listed.
TEST(cluster_state, discards_the_prompt_parts_of_an_engine_removed_from_the_list)
{
    cluster_state cluster({}, at(0s));
    cluster.upstream_listed(at(0s), engine(1));
    cluster.record_sent_parts(at(1s), parts, "engine-1");
    cluster.upstream_unlisted(at(2s), "engine-1");
    EXPECT_EQ(cluster.part_locations().cached_prefix_length(at(2s), parts, "engine-1"), 0U);
}

// Guards against losing the prompt parts of a running engine whose list entry expired only because
// the store was unavailable.
TEST(cluster_state, keeps_the_prompt_parts_of_an_engine_whose_entry_expired_during_a_store_outage)
{
    cluster_state cluster({}, at(0s));
    cluster.upstream_listed(at(0s), engine(1));
    cluster.record_sent_parts(at(1s), parts, "engine-1");
    cluster.upstream_unlisted(at(2s), "engine-1", at(2s));
    EXPECT_EQ(cluster.part_locations().cached_prefix_length(at(2500ms), parts, "engine-1"), 2U);
}

bool takes_request(cluster_state& cluster, base::time_point now)
{
    return cluster.upstreams().candidates(now, "bench").size() == 1;
}

membership::peer_report report_of(cluster_state& from, base::time_point now, std::uint64_t sequence)
{
    auto out = from.make_report(now, sequence, false);
    out.instance = "other";
    out.incarnation = "1";
    return out;
}

// Guards against an instance that goes on as before until an upstream tells it of a limit itself.
TEST(cluster_state, learns_a_limit_and_its_end_from_the_report_of_another_instance)
{
    cluster_state first({}, at(0s));
    cluster_state second({}, at(0s));
    second.members_read();
    second.upstream_listed(at(0s), engine(1));
    std::vector<base::duration> sent;
    std::uint64_t reports = 0;
    for (base::duration since_start = 1s; since_start < 20s; since_start += 100ms)
    {
        auto const now = at(since_start);
        if (since_start < 10s)
            first.limit_observed(now, now - 10ms, engine(1), 0.5);
        else
            first.limit_observed(now, now - 10ms, engine(1), std::nullopt);
        EXPECT_TRUE(second.apply_report(now, report_of(first, now, ++reports)));
        second.tick(now);
        if (!takes_request(second, now))
            continue;
        second.request_sent(now, engine(1), {});
        sent.push_back(since_start);
    }
    // It shares half a request a second with the other instance, until the limit ends.
    auto const is_limited = [](base::duration it)
    {
        return it < 10s;
    };
    EXPECT_EQ(std::count_if(sent.begin(), sent.end(), is_limited), 2);
    EXPECT_GT(sent.size(), 90U);
}

// Guards against a limit that is learned through a relay and does not reach the next data centre.
TEST(cluster_state, a_limit_passes_through_a_relay)
{
    cluster_state first({}, at(0s));
    first.limit_observed(at(1s), at(900ms), engine(1), 0.5);
    membership::relay_buffer relay;
    relay.record(report_of(first, at(1100ms), 1));
    auto const relayed = relay.take();
    ASSERT_EQ(relayed.size(), 1U);
    cluster_state second({}, at(0s));
    second.upstream_listed(at(0s), engine(1));
    EXPECT_TRUE(second.apply_report(at(1600ms), relayed.front()));
    EXPECT_EQ(second.upstream_limits().limit_of("engine-1/1"), 0.5);
    EXPECT_FALSE(takes_request(second, at(60s)));
}

// Guards against the limit of a process that holds back its successor under the same id.
TEST(cluster_state, a_restarted_upstream_has_no_limit)
{
    cluster_state cluster({}, at(0s));
    cluster.upstream_listed(at(0s), engine(1));
    cluster.limit_observed(at(1s), at(900ms), engine(1), 0.5);
    EXPECT_FALSE(takes_request(cluster, at(1s)));
    cluster.upstream_listed(at(2s), engine(2));
    EXPECT_TRUE(takes_request(cluster, at(2s)));
}

// Guards against trying upstreams beyond their limits since no other upstream is left.
TEST(cluster_state, says_when_a_service_takes_the_next_request_if_all_its_upstreams_are_limited)
{
    cluster_state cluster({}, at(0s));
    cluster.members_read();
    cluster.upstream_listed(at(0s), engine(1));
    cluster.tick(at(0s));
    EXPECT_FALSE(cluster.upstreams().limited_until(at(1s), "bench"));
    cluster.limit_observed(at(1s), at(900ms), engine(1), 0.5);
    EXPECT_TRUE(cluster.upstreams().candidates(at(1s), "bench").empty());
    EXPECT_EQ(cluster.upstreams().limited_until(at(1s), "bench"), at(3s));
    EXPECT_FALSE(cluster.upstreams().limited_until(at(3s), "bench"));
}

configuration::deployment deployment(std::uint64_t version)
{
    configuration::deployment out;
    out.version = version;
    return out;
}

// Guards against answering that a route or key does not exist from a store that came back from an
// older copy and lacks it.
TEST(cluster_state, an_older_copy_of_the_store_does_not_show_that_something_does_not_exist)
{
    cluster_state cluster({}, at(0s));
    EXPECT_TRUE(cluster.apply_deployment(at(1s), deployment(7)));
    cluster.configuration_read(at(10s));
    EXPECT_TRUE(cluster.configuration_is_fresh(at(10s)));
    cluster.store_restored(at(10s));
    EXPECT_FALSE(cluster.configuration_is_fresh(at(10s)));
    // The copy has an older version: it is not applied, and the store is known to lag.
    EXPECT_FALSE(cluster.apply_deployment(at(10s), deployment(5)));
    cluster.configuration_read(at(20s));
    EXPECT_FALSE(cluster.configuration_is_fresh(at(20s)));
    EXPECT_EQ(cluster.deployment()->data().version, 7U);
    EXPECT_FALSE(cluster.apply_deployment(at(20s), deployment(7)));
    EXPECT_TRUE(cluster.configuration_is_fresh(at(20s)));
}

// Guards against a version that was confirmed just before the store was lost, which no instance has
// seen and which is written again a moment later.
TEST(cluster_state, waits_for_what_operators_write_again_after_a_restore)
{
    cluster_state cluster({}, at(0s));
    cluster.apply_deployment(at(1s), deployment(7));
    cluster.store_restored(at(10s));
    cluster.apply_deployment(at(10s), deployment(7));
    cluster.configuration_read(at(11s));
    EXPECT_FALSE(cluster.configuration_is_fresh(at(11s)));
    cluster.configuration_read(at(13s));
    EXPECT_TRUE(cluster.configuration_is_fresh(at(13s)));
}

// Guards against losing the upstreams that started after the copy was made.
TEST(cluster_state, keeps_an_upstream_that_an_older_copy_of_the_store_lacks)
{
    cluster_state cluster({}, at(0s));
    cluster.upstream_listed(at(0s), engine(1));
    cluster.store_restored(at(10s));
    // A follower reads the copy as after an outage; see `topic_follower_test`.
    cluster.upstream_unlisted(at(10s), "engine-1", at(10s));
    EXPECT_TRUE(takes_request(cluster, at(11s)));
    cluster.upstream_listed(at(11s), engine(1));
    cluster.tick(at(20s));
    EXPECT_TRUE(takes_request(cluster, at(20s)));
}

// Guards against an instance that starts on an older copy of the store and serves what newer
// versions do not allow, or answers that what they added does not exist.
TEST(cluster_state, an_instance_that_starts_on_an_older_configuration_waits_for_the_newest)
{
    cluster_state other({}, at(0s));
    other.apply_deployment(at(0s), deployment(9));
    cluster_state started({}, at(100s));
    started.apply_deployment(at(100s), deployment(7));
    started.configuration_read(at(100s));
    EXPECT_FALSE(started.started_on_outdated_configuration(at(100s)));
    EXPECT_TRUE(started.apply_report(at(100s), report_of(other, at(100s), 1)));
    EXPECT_TRUE(started.started_on_outdated_configuration(at(100s)));
    EXPECT_FALSE(started.configuration_is_fresh(at(100s)));
    started.apply_deployment(at(101s), deployment(9));
    EXPECT_FALSE(started.started_on_outdated_configuration(at(101s)));
    EXPECT_TRUE(started.configuration_is_fresh(at(101s)));
}

// Guards against an instance that stops to serve, since others apply a new version a moment
// earlier.
TEST(cluster_state, an_instance_that_runs_for_longer_serves_while_others_have_a_newer_version)
{
    cluster_state other({}, at(0s));
    other.apply_deployment(at(0s), deployment(9));
    cluster_state running({}, at(0s));
    running.apply_deployment(at(0s), deployment(7));
    running.configuration_read(at(60s));
    EXPECT_TRUE(running.apply_report(at(60s), report_of(other, at(60s), 1)));
    EXPECT_FALSE(running.started_on_outdated_configuration(at(60s)));
    EXPECT_FALSE(running.configuration_is_fresh(at(60s)));
}

// Guards against an instance that starts while prompts with a crashing part arrive and sends them
// to engines until it has seen enough crashes itself.
TEST(cluster_state, learns_a_crashing_part_from_the_report_of_another_instance)
{
    cluster_state first({}, at(0s));
    for (std::uint64_t i = 0; i < 20; ++i)
        first.upstream_lost(at(i * 1s), {"engine-" + std::to_string(i), i, {5}});
    cluster_state started({}, at(100s));
    EXPECT_FALSE(started.crash_attribution().find_cause(at(100s), {5}));
    EXPECT_TRUE(started.apply_report(at(100s), report_of(first, at(100s), 1)));
    EXPECT_TRUE(started.crash_attribution().find_cause(at(100s), {5}));
    EXPECT_FALSE(started.crash_attribution().find_cause(at(100s), {6}));
}

// Guards against a part that stays refused on the instances that did not complete its response.
TEST(cluster_state, accepts_a_part_again_after_another_instance_completed_its_response)
{
    cluster_state first({}, at(0s));
    for (std::uint64_t i = 0; i < 4; ++i)
        first.upstream_lost(at(i * 1s), {"engine-" + std::to_string(i), i, {5}});
    cluster_state second({}, at(3s));
    second.apply_report(at(3s), report_of(first, at(3s), 1));
    EXPECT_TRUE(second.crash_attribution().find_cause(at(3s), {5}));
    first.crash_attribution().record_completion(at(4s), at(4s), {5});
    second.apply_report(at(4s), report_of(first, at(4s), 2));
    EXPECT_FALSE(second.crash_attribution().find_cause(at(4s), {5}));
}

/// The number of tokens that one instance admits immediately, in requests of 10.
double admitted_at_once(cluster_state& cluster, base::time_point now)
{
    cluster.observe_time(now);
    double out = 0;
    while (cluster.bucket("club")->admit(now, 10).admitted)
        out += 10;
    return out;
}

// Guards against an instance that dates a version by when it learned of it.
TEST(cluster_state, dates_a_version_by_the_last_read_that_did_not_show_it)
{
    cluster_state cluster({}, at(0s));
    cluster.set_desired_version("crew", 1, std::nullopt);
    cluster.set_desired_version("crew", 2, at(5s));
    EXPECT_EQ(cluster.desired_weights().superseded_since("crew", 1), at(5s));
}

// Guards against a restarted instance that uses superseded weights for as long as one that saw the
// newer version appear. It may have been published long before the start.
TEST(cluster_state, version_found_at_startup_is_not_taken_for_new)
{
    gateway_settings settings;
    settings.max_old_version_time = 8s;
    cluster_state cluster(settings, at(20s));
    cluster.set_desired_version("crew", 5, std::nullopt);
    // A started instance has to keep the bound after three seconds, less the wait at the engine.
    auto const relied_on_at = at(23s) - 500ms;
    auto const superseded_since = cluster.desired_weights().superseded_since("crew", 4);
    ASSERT_TRUE(superseded_since);
    EXPECT_GE(relied_on_at - *superseded_since, settings.max_old_version_time - 1500ms);
    settings.first_start = true;
    cluster_state first(settings, at(0s));
    first.set_desired_version("crew", 1, std::nullopt);
    first.set_desired_version("crew", 2, at(2s));
    EXPECT_EQ(first.desired_weights().superseded_since("crew", 1), at(2s));
}

// Guards against an instance that started long ago and uses superseded weights for as long as a new
// one, because its first read of the store returned late.
TEST(cluster_state, version_found_at_startup_is_dated_by_the_start)
{
    cluster_state cluster({}, at(20s));
    cluster.observe_time(at(23s));
    cluster.set_desired_version("crew", 5, std::nullopt);
    EXPECT_EQ(cluster.desired_weights().superseded_since("crew", 4), at(16s));
}

// Guards against answers that a key or a route does not exist from a configuration that was read
// long ago, while the store answers other reads.
TEST(cluster_state, configuration_is_fresh_only_by_reads_of_the_configuration)
{
    cluster_state cluster({}, at(0s));
    EXPECT_FALSE(cluster.configuration_is_fresh(at(0s)));
    cluster.configuration_read(at(1s));
    cluster.store_responded(at(3s));
    EXPECT_TRUE(cluster.configuration_is_fresh(at(2s)));
    EXPECT_FALSE(cluster.configuration_is_fresh(at(3s)));
}

// Guards against a message that arrived during a pause and counts as new after it.
TEST(cluster_state, what_is_handled_after_a_pause_may_have_arrived_during_it)
{
    cluster_state cluster({}, at(0s));
    cluster.observe_time(at(1s));
    EXPECT_EQ(cluster.earliest_arrival(at(1s)), at(1s));
    base::duration paused{};
    cluster.on_resumed([&](base::duration it) { paused = it; });
    cluster.observe_time(at(5s));
    EXPECT_EQ(paused, 4s);
    EXPECT_EQ(cluster.earliest_arrival(at(5s)), at(1s));
    EXPECT_EQ(cluster.earliest_arrival(at(5050ms)), at(1s));
    EXPECT_EQ(cluster.earliest_arrival(at(5200ms)), at(5200ms));
}

// Guards against an instance that was suspended and then admits the whole quota, because it takes
// its peers for gone or knows nothing of what they admitted meanwhile. The requests are decided
// before the first periodic tick, as they are when they waited in the event loop.
TEST(cluster_state, uses_only_a_disconnected_share_after_the_process_was_suspended)
{
    gateway_settings settings;
    settings.instance = "local";
    settings.first_start = true;
    settings.quota_window = 8s;
    for (base::duration const pause : {1500ms, 5000ms, 30000ms})
    {
        cluster_state cluster(settings, at(0s));
        configuration::deployment data;
        data.version = 1;
        auto& workspace = data.workspaces.emplace_back();
        workspace.name = "club";
        workspace.rate = 1000;
        workspace.burst = 2000;
        cluster.apply_deployment(at(0s), data);
        membership::peer_report report;
        report.incarnation = "1";
        for (char const* peer : {"a", "b", "c"})
        {
            report.instance = peer;
            cluster.apply_report(at(100ms), report);
        }
        for (base::duration time{}; time < 200ms; time += 50ms)
            cluster.tick(at(time));
        // A disconnected instance may use half of its share of the burst.
        EXPECT_LE(admitted_at_once(cluster, at(200ms) + pause), 2000 * 0.5 / 4 + 10);
        cluster.tick(at(200ms) + pause);
        EXPECT_EQ(cluster.peer_table().instance_count(), 4U);
    }
}

// Guards against polling the list too rarely to notice a draining upstream in time, and against a
// configuration that counts as outdated between two reads.
TEST(cluster_state, polls_the_upstream_list_within_half_of_the_drain_time)
{
    gateway_settings settings;
    for (base::duration const max_drain_time : {1s, 2s, 3s, 60s})
    {
        settings.max_drain_time = max_drain_time;
        cluster_state cluster(settings, at(0s));
        EXPECT_LE(cluster.upstream_poll_interval(), max_drain_time / 2);
        EXPECT_LE(cluster.upstream_poll_interval(), 1400ms);
        auto const interval_without_peers = cluster.upstream_poll_interval();
        for (int i = 0; i < 20; ++i)
            cluster.peer_table().register_peer(at(0s), "gateway-" + std::to_string(i), "1",
                                               "127.0.0.1:1");
        EXPECT_GE(cluster.upstream_poll_interval(), interval_without_peers);
        EXPECT_LE(cluster.upstream_poll_interval(), max_drain_time / 2);
    }
}

std::uint64_t newest_crew(cluster_state& cluster)
{
    return cluster.desired_weights().newest_version("crew");
}

// Guards against a weight version that a started instance takes from the store's newest record,
// although a newer one was published before.
TEST(cluster_state, a_version_of_the_own_records_outlasts_an_older_record_of_the_store)
{
    cluster_state cluster({}, at(20s));
    std::vector<std::uint64_t> found;
    cluster.on_version_found([&](std::string const&, std::uint64_t version)
                             { found.push_back(version); });
    cluster.set_desired_version("crew", 2, std::nullopt);
    cluster.stored_versions_read({{"crew", 3}, {"mate", 1}});
    cluster.set_desired_version("crew", 2, at(21s));
    cluster.stored_versions_read({{"crew", 2}, {"mate", 1}});
    EXPECT_EQ(newest_crew(cluster), 3U);
    EXPECT_EQ(found, (std::vector<std::uint64_t>{3, 1}));
    // It may have been published long before the start.
    EXPECT_EQ(cluster.desired_weights().superseded_since("crew", 2), at(16s));
}

// Guards against an odd entry whose version would count as the newest one for good.
TEST(cluster_state, a_version_far_above_the_published_ones_is_not_believed)
{
    configuration::deployment data;
    data.version = 1;
    data.services["bench"].name = "bench";
    cluster_state cluster({}, at(0s));
    cluster.apply_deployment(at(0s), std::move(data));
    cluster.set_desired_version("crew", 5, at(0s));
    auto odd = engine(1);
    odd.weights["crew"] = (std::uint64_t{1} << 53) - 1;
    cluster.upstream_listed(at(1s), odd);
    cluster.stored_versions_read({{"crew", std::uint64_t{1} << 52}});
    EXPECT_EQ(newest_crew(cluster), 5U);
}

configuration::deployment deployment_of_bench()
{
    configuration::deployment out;
    out.version = 1;
    out.services["bench"].name = "bench";
    return out;
}

// Guards against engines with newer weights than the store names that are ordered back.
TEST(cluster_state, a_version_that_two_engines_answer_with_counts_as_published)
{
    cluster_state cluster({}, at(0s));
    for (char const* const it : {"engine-1", "engine-2", "engine-3"})
    {
        auto listed = engine(1);
        listed.id = it;
        cluster.upstream_listed(at(0s), listed);
    }
    cluster.weights_observed("engine-1", "crew", 3);
    cluster.weights_observed("engine-2", "crew", 3);
    EXPECT_EQ(newest_crew(cluster), 0U);
    cluster.apply_deployment(at(0s), deployment_of_bench());
    cluster.weights_observed("engine-1", "crew", 3);
    cluster.weights_observed("engine-2", "crew", 4);
    EXPECT_EQ(newest_crew(cluster), 3U);
    cluster.weights_observed("engine-3", "crew", 5);
    EXPECT_EQ(newest_crew(cluster), 4U);
}

// Guards against one entry or engine whose version makes all other engines count as outdated for
// good.
TEST(cluster_state, a_version_that_one_upstream_claims_is_not_wanted_of_the_others)
{
    cluster_state cluster({}, at(0s));
    cluster.apply_deployment(at(0s), deployment_of_bench());
    cluster.set_desired_version("crew", 1, at(0s));
    auto claiming = engine(1);
    claiming.weights["crew"] = 37;
    auto other = engine(1);
    other.id = "engine-2";
    other.weights["crew"] = 38;
    for (int n = 1; n < 20; ++n)
    {
        auto const now = at(std::chrono::seconds(n));
        cluster.upstream_listed(now, claiming);
        cluster.upstream_listed(now, other);
        cluster.tick(now);
        for (int i = 0; i < 3; ++i)
            cluster.weights_observed("engine-1", "crew", 37);
        EXPECT_EQ(newest_crew(cluster), 1U);
    }
    // An entry of another writer.
    claiming.id = "engine-3";
    claiming.service = "unknown";
    cluster.upstream_listed(at(20s), claiming);
    cluster.weights_observed("engine-3", "crew", 37);
    EXPECT_EQ(newest_crew(cluster), 1U);
}

// Guards against an instance that hears of a load and still takes the older version for the newest.
TEST(cluster_state, a_version_that_another_instance_has_ordered_counts_as_published)
{
    configuration::deployment data;
    data.version = 1;
    data.services["bench"].name = "bench";
    cluster_state cluster({}, at(0s));
    cluster.apply_deployment(at(0s), data);
    cluster.upstream_listed(at(0s), engine(1));
    cluster_state other({}, at(0s));
    auto report = report_of(other, at(1s), 1);
    report.weight_loads.push_back({"engine-1", "crew", 5, 100ms, false});
    cluster.apply_report(at(1s), report);
    EXPECT_EQ(newest_crew(cluster), 5U);
}

/// An instance at which the older of two weight versions is in use beside the newer one.
class superseded_weights : public testing::Test
{
protected:
    superseded_weights()
    {
        cluster.upstream_listed(at(0s), crew_engine());
        cluster.set_desired_version("crew", 1, at(0s));
        cluster.set_desired_version("crew", 2, at(1s));
    }

    static membership::upstream_record crew_engine()
    {
        auto out = engine(1);
        out.weights["crew"] = 1;
        return out;
    }

    void receive_report(base::time_point now, bool leads)
    {
        auto report = report_of(other, now, ++sequence);
        if (leads)
            report.lease = membership::held_lease{};
        report.weight_loads = std::exchange(loads, {});
        cluster.apply_report(now, report);
    }

    bool may_fetch(base::time_point now) const
    {
        return cluster.may_fetch_parts(now, "engine-1", "crew", 1);
    }

    cluster_state cluster{{}, at(0s)};
    cluster_state other{{}, at(0s)};
    std::uint64_t sequence = 0;
    std::vector<membership::weight_load> loads;
};

// Guards against parts of an older version that are fetched although nobody told which engines have
// it no more.
TEST_F(superseded_weights, parts_are_fetched_only_while_the_reports_of_the_leader_arrive)
{
    cluster.configuration_read(at(1s));
    EXPECT_FALSE(may_fetch(at(1s)));
    for (auto time = 1s; time <= 5s; ++time)
    {
        cluster.tick(at(time));
        receive_report(at(time), true);
    }
    EXPECT_TRUE(may_fetch(at(5s)));
    cluster.tick(at(5900ms));
    EXPECT_FALSE(may_fetch(at(7s)));
    receive_report(at(6s), true);
    EXPECT_TRUE(may_fetch(at(6s)));
    receive_report(at(6100ms), false);
    EXPECT_FALSE(may_fetch(at(6100ms)));
}

// Guards against parts that an engine makes with newer weights, while nobody had an answer to the
// order to load them.
TEST_F(superseded_weights, no_part_is_fetched_from_an_engine_that_may_have_carried_out_an_order)
{
    cluster.set_leading(at(1s), true);
    EXPECT_FALSE(may_fetch(at(2s)));
    EXPECT_TRUE(may_fetch(at(5s)));
    loads.push_back({"engine-1", "crew", 2, {}, false, true});
    receive_report(at(5s), false);
    EXPECT_FALSE(may_fetch(at(6s)));
    EXPECT_EQ(cluster.upstreams().find("engine-1")->weight_version("crew"), 1U);
    EXPECT_EQ(cluster.upstreams().open_orders(),
              (std::vector<routing::open_order>{{"engine-1", "crew", 2}}));
    auto restarted = crew_engine();
    restarted.started_unix_ms = 2;
    cluster.upstream_listed(at(7s), restarted);
    EXPECT_FALSE(may_fetch(at(7s)));
    restarted.weights["crew"] = 2;
    cluster.upstream_listed(at(8s), restarted);
    EXPECT_TRUE(cluster.upstreams().open_orders().empty());
    EXPECT_TRUE(cluster.may_fetch_parts(at(8s), "engine-1", "crew", 2));
}

// Guards against an instance that hears nothing more and goes on to fetch parts as before.
TEST_F(superseded_weights, an_instance_that_is_cut_off_fetches_no_parts_of_any_version)
{
    cluster.configuration_read(at(2s));
    EXPECT_EQ(cluster.oldest_shared_version(at(3s), "crew"), 2U);
    EXPECT_EQ(cluster.oldest_shared_version(at(4s), "crew"), std::nullopt);
    cluster.set_leading(at(2s), true);
    EXPECT_EQ(cluster.oldest_shared_version(at(6s), "crew"), 0U);
    cluster.tick(at(6s));
    // The process was suspended.
    cluster.tick(at(9s));
    EXPECT_EQ(cluster.oldest_shared_version(at(9s), "crew"), std::nullopt);
}

} // namespace
} // namespace savorymount::gateway
