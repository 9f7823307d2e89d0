#include <savorymount/membership/peer_subset.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace savorymount::membership
{
namespace
{

std::vector<entry_instance> make_entries(std::size_t count, std::size_t data_centres)
{
    std::vector<entry_instance> out;
    for (std::size_t n = 0; n < count; ++n)
        out.push_back({"entry-" + std::to_string(n), "dc-" + std::to_string(n % data_centres)});
    return out;
}

std::string data_centre_of(std::string const& entry, std::size_t data_centres)
{
    auto const number = std::stoul(entry.substr(entry.find('-') + 1));
    return "dc-" + std::to_string(number % data_centres);
}

std::vector<std::string> make_upstreams(std::size_t count)
{
    std::vector<std::string> out;
    for (std::size_t n = 0; n < count; ++n)
        out.push_back("agent-" + std::to_string(n));
    return out;
}

// Guards against an entry and an upstream that disagree on whether they are connected.
TEST(peer_subset, both_sides_agree_for_any_order_of_the_list)
{
    auto entries = make_entries(60, 3);
    auto const upstreams = make_upstreams(40);
    subset_limits const limits{5, 2};
    peer_subset const subset(entries, limits);
    std::reverse(entries.begin(), entries.end());
    peer_subset const reversed(entries, limits);
    for (auto const& upstream : upstreams)
    {
        auto const connected = subset.entries_of(upstream);
        EXPECT_EQ(reversed.entries_of(upstream), connected);
        for (auto const& it : entries)
        {
            bool const expected =
                std::find(connected.begin(), connected.end(), it.id) != connected.end();
            EXPECT_EQ(subset.connects(it.id, upstream), expected);
            auto const selected = subset.upstreams_of(it.id, upstreams);
            EXPECT_EQ(std::find(selected.begin(), selected.end(), upstream) != selected.end(),
                      expected);
        }
    }
    EXPECT_FALSE(subset.connects("unknown", upstreams[0]));
    EXPECT_TRUE(subset.upstreams_of("unknown", upstreams).empty());
}

// Guards against missing connections in a deployment with few entries.
TEST(peer_subset, a_small_deployment_is_fully_connected)
{
    auto const entries = make_entries(20, 3);
    peer_subset const subset(entries, {});
    EXPECT_EQ(subset.entries_of("agent-1").size(), entries.size());
}

// Guards against an upstream that has no entry in some data centre: requests there could not reach
// it while the other data centres are disconnected.
TEST(peer_subset, a_small_data_centre_keeps_its_minimum_of_connections)
{
    auto entries = make_entries(300, 1);
    entries.push_back({"far-1", "dc-far"});
    entries.push_back({"far-2", "dc-far"});
    entries.push_back({"far-3", "dc-far"});
    peer_subset const subset(entries, {20, 2});
    for (auto const& upstream : make_upstreams(50))
    {
        auto const connected = subset.entries_of(upstream);
        auto const remote_count =
            std::count_if(connected.begin(), connected.end(),
                          [](std::string const& it) { return it.starts_with("far"); });
        EXPECT_GE(remote_count, 2);
        EXPECT_GE(connected.size(), 20U);
        EXPECT_LE(connected.size(), 24U);
    }
}

// Guards against reconnecting all entries when a single one is removed.
TEST(peer_subset, one_entry_changes_only_the_upstreams_it_was_connected_to)
{
    auto const upstreams = make_upstreams(300);
    auto entries = make_entries(200, 2);
    peer_subset const before(entries, {10, 2});
    auto const removed = entries[17].id;
    entries.erase(entries.begin() + 17);
    peer_subset const after(entries, {10, 2});
    for (auto const& it : upstreams)
    {
        auto expected = before.entries_of(it);
        bool const was_connected = std::erase(expected, removed) > 0;
        auto const connected = after.entries_of(it);
        EXPECT_EQ(connected == expected, !was_connected);
        EXPECT_TRUE(
            std::includes(connected.begin(), connected.end(), expected.begin(), expected.end()));
    }
}

// Guards against upstreams with too few entries and entries with too many connections at the
// maximum design size: 1,500 entries in 10 data centres and 12,000 upstreams.
TEST(peer_subset, stays_within_its_limits_at_the_maximum_design_size)
{
    constexpr std::size_t entry_count = 1'500;
    constexpr std::size_t upstream_count = 12'000;
    constexpr std::size_t data_centre_count = 10;
    auto const entries = make_entries(entry_count, data_centre_count);
    auto const upstreams = make_upstreams(upstream_count);
    subset_limits const limits{20, 1};
    peer_subset const subset(entries, limits);
    std::map<std::string, std::size_t> connections;
    for (auto const& upstream : upstreams)
    {
        auto const connected = subset.entries_of(upstream);
        EXPECT_GE(connected.size(), limits.entries_per_upstream);
        EXPECT_LE(connected.size(), limits.entries_per_upstream + data_centre_count);
        std::set<std::string> data_centres;
        for (auto const& it : connected)
        {
            ++connections[it];
            data_centres.insert(data_centre_of(it, data_centre_count));
        }
        EXPECT_EQ(data_centres.size(), data_centre_count);
    }
    for (std::size_t n = 0; n < entry_count; n += 100)
        EXPECT_EQ(subset.upstreams_of(entries[n].id, upstreams).size(), connections[entries[n].id]);
    EXPECT_EQ(connections.size(), entry_count);
    auto const [smallest, largest] = std::minmax_element(connections.begin(), connections.end(),
                                                         [](auto const& left, auto const& right)
                                                         { return left.second < right.second; });
    RecordProperty("smallest", static_cast<int>(smallest->second));
    RecordProperty("largest", static_cast<int>(largest->second));
    // 12,000 upstreams with 21.2 connections each give 170 per entry on average.
    EXPECT_GT(smallest->second, 110U);
    EXPECT_LT(largest->second, 240U);
}

} // namespace
} // namespace savorymount::membership
