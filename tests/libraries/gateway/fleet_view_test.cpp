#include <savorymount/gateway/fleet_view.hpp>

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

// Guards against other engines that are told to fetch from one whose memory is empty.
TEST(fleet_view, forgets_the_parts_of_an_engine_that_started_again)
{
    fleet_view view({}, at(0s));
    view.upstream_listed(at(0s), engine(1));
    view.parts_sent(at(1s), parts, "engine-1");
    view.upstream_listed(at(2s), engine(1));
    EXPECT_EQ(view.parts().cached_prefix_length(at(2s), parts, "engine-1"), 2U);
    view.upstream_listed(at(3s), engine(2));
    EXPECT_EQ(view.parts().cached_prefix_length(at(3s), parts, "engine-1"), 0U);
}

// Guards against an engine that left the list and is still named as a source.
TEST(fleet_view, forgets_the_parts_of_an_engine_that_left)
{
    fleet_view view({}, at(0s));
    view.upstream_listed(at(0s), engine(1));
    view.parts_sent(at(1s), parts, "engine-1");
    view.upstream_unlisted(at(2s), "engine-1");
    EXPECT_EQ(view.parts().cached_prefix_length(at(2s), parts, "engine-1"), 0U);
}

// Guards against parts that are lost with an entry that only lapsed while the store was away.
TEST(fleet_view, keeps_the_parts_of_an_engine_whose_entry_lapsed_with_the_store)
{
    fleet_view view({}, at(0s));
    view.upstream_listed(at(0s), engine(1));
    view.parts_sent(at(1s), parts, "engine-1");
    view.store_failed(at(2s));
    view.upstream_unlisted(at(2s), "engine-1");
    EXPECT_EQ(view.parts().cached_prefix_length(at(2500ms), parts, "engine-1"), 2U);
}

// Guards against a list that is read too seldom for the time in which a leaving upstream must be
// known, and against a store that seems stale between two reads.
TEST(fleet_view, reads_the_list_within_the_drain_time)
{
    gateway_settings settings;
    for (base::duration const bound : {1s, 2s, 3s, 60s})
    {
        settings.drain_bound = bound;
        fleet_view view(settings, at(0s));
        EXPECT_LE(view.list_interval(), bound / 2);
        EXPECT_LE(view.list_interval(), 1400ms);
        auto const alone = view.list_interval();
        for (int i = 0; i < 20; ++i)
            view.roster().register_peer(at(0s), "gateway-" + std::to_string(i), "1", "127.0.0.1:1");
        EXPECT_GE(view.list_interval(), alone);
        EXPECT_LE(view.list_interval(), bound / 2);
    }
}

} // namespace
} // namespace savorymount::gateway
