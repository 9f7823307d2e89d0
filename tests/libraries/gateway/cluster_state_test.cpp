#include <savorymount/gateway/cluster_state.hpp>

#include <gtest/gtest.h>

#include <tests/libraries/time_points.hpp>

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
    cluster.store_failed(at(2s));
    cluster.upstream_unlisted(at(2s), "engine-1");
    EXPECT_EQ(cluster.part_locations().cached_prefix_length(at(2500ms), parts, "engine-1"), 2U);
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

} // namespace
} // namespace savorymount::gateway
