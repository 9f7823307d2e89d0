#include <savorymount/base/random_source.hpp>
#include <savorymount/membership/report_routes.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <tests/libraries/time_points.hpp>
#include <utility>
#include <vector>

namespace savorymount::membership
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

constexpr std::size_t data_centres = 5;

std::string data_centre_of(std::size_t index)
{
    return "dc-" + std::to_string(index % data_centres);
}

std::string name_of(std::size_t index)
{
    return "gateway-" + std::to_string(index);
}

peer_report report_of(std::size_t index, std::uint64_t sequence)
{
    peer_report out;
    out.instance = name_of(index);
    out.incarnation = "1";
    out.address = name_of(index);
    out.data_centre = data_centre_of(index);
    out.sequence = sequence;
    return out;
}

/// The view of one instance that has just heard from those that are not in `gone`.
peer_table table_of(std::size_t local, std::size_t count, std::set<std::size_t> const& gone = {})
{
    peer_table out(name_of(local), {.local_data_centre = data_centre_of(local)});
    for (std::size_t i = 0; i < count; ++i)
    {
        if (i == local)
            continue;
        out.apply_report(at(0s), report_of(i, 1));
        if (!gone.contains(i))
            out.apply_report(at(10s), report_of(i, 2));
    }
    return out;
}

/// The instances that a report of `origin` reaches within two exchanges between relays.
std::set<std::string> reached_from(std::size_t origin, std::size_t count,
                                   std::set<std::size_t> const& gone = {})
{
    std::map<std::string, report_routes> routes;
    for (std::size_t i = 0; i < count; ++i)
    {
        if (!gone.contains(i))
            routes[name_of(i)] = find_report_routes(at(10s), table_of(i, count, gone));
    }
    auto const local = routes.at(name_of(origin));
    std::set<std::string> out(local.neighbours.begin(), local.neighbours.end());
    out.insert(name_of(origin));
    auto const data_centre = out;
    for (auto const& name : data_centre)
    {
        auto const relay = routes.find(name);
        if (relay == routes.end() || !relay->second.local_is_relay)
            continue;
        for (auto const& remote : relay->second.remote_relays)
        {
            out.insert(remote);
            auto const it = routes.find(remote);
            if (it != routes.end() && it->second.local_is_relay)
                out.insert(it->second.neighbours.begin(), it->second.neighbours.end());
        }
    }
    return out;
}

// Guards against instances that hear nothing of others, at any size.
TEST(report_routes, a_report_reaches_every_instance)
{
    for (std::size_t const count : {3U, 12U, 13U, 25U, 103U, 300U})
        EXPECT_EQ(reached_from(1, count).size(), count);
}

// Guards against a data centre that is cut off because its relay is gone.
TEST(report_routes, another_instance_takes_over_from_a_silent_relay)
{
    constexpr std::size_t count = 60;
    base::random_source random(7);
    for (int n = 0; n < 20; ++n)
    {
        std::set<std::size_t> gone;
        while (gone.size() < 20)
            gone.insert(random.uniform_below(count));
        gone.erase(1);
        auto const reached = reached_from(1, count, gone);
        for (std::size_t i = 0; i < count; ++i)
            EXPECT_TRUE(gone.contains(i) || reached.contains(name_of(i))) << i;
    }
}

// Guards against a small machine that carries the traffic of a data centre: its link fills, its
// reports come late, and the relays change all the time.
TEST(report_routes, the_instance_with_the_highest_weight_is_the_relay)
{
    peer_table table("small", {.local_data_centre = "dc-0", .local_relay_weight = 20});
    for (std::size_t i = 0; i < 30; ++i)
    {
        auto report = report_of(i, 1);
        report.relay_weight = i == 15 || i == 17 ? 200 : 20;
        table.apply_report(at(0s), report);
    }
    auto const routes = find_report_routes(at(0s), table);
    EXPECT_FALSE(routes.local_is_relay);
    EXPECT_NE(std::find(routes.remote_relays.begin(), routes.remote_relays.end(), name_of(17)),
              routes.remote_relays.end());
}

// Guards against data centres that never hear of each other after all instances restarted: each
// knows the others only from the store, and so not which of them is the relay.
TEST(report_routes, all_instances_hear_each_other_again_after_a_restart_of_all)
{
    constexpr std::size_t count = 31;
    auto const weight_of = [](std::size_t index) -> std::uint32_t
    {
        return index >= 20 && index < 25 ? 200 : 10;
    };
    std::vector<peer_table> tables;
    for (std::size_t i = 0; i < count; ++i)
    {
        tables.emplace_back(name_of(i), peer_table_options{.local_data_centre = data_centre_of(i),
                                                           .local_relay_weight = weight_of(i)});
        for (std::size_t other = 0; other < count; ++other)
            tables[i].register_peer(at(0s), name_of(other), "1", name_of(other),
                                    data_centre_of(other));
    }
    std::map<std::string, std::size_t> index_of;
    for (std::size_t i = 0; i < count; ++i)
        index_of[name_of(i)] = i;
    for (std::uint64_t round = 1; round <= 4; ++round)
    {
        auto const now = at(std::chrono::milliseconds(500 * round));
        auto const report = [&](std::size_t from)
        {
            auto out = report_of(from, round);
            out.relay_weight = weight_of(from);
            return out;
        };
        std::vector<report_routes> routes;
        routes.reserve(count);
        for (auto const& it : tables)
            routes.push_back(find_report_routes(now, it));
        for (std::size_t i = 0; i < count; ++i)
        {
            for (auto const& to : routes[i].neighbours)
                tables[index_of[to]].apply_report(now, report(i));
        }
        for (std::size_t relay = 0; relay < count; ++relay)
        {
            // The instances of a data centre hear each other before the relays exchange reports.
            if (round == 1 || !routes[relay].local_is_relay)
                continue;
            for (auto const& to : routes[relay].remote_relays)
            {
                auto receivers = std::vector<std::string>{to};
                auto const& remote = routes[index_of[to]];
                if (remote.local_is_relay)
                    receivers.insert(receivers.end(), remote.neighbours.begin(),
                                     remote.neighbours.end());
                for (auto const& receiver : receivers)
                {
                    for (std::size_t i = 0; i < count; ++i)
                    {
                        if (data_centre_of(i) == data_centre_of(relay))
                            tables[index_of[receiver]].apply_report(now, report(i));
                    }
                }
            }
        }
    }
    for (auto const& table : tables)
    {
        for (auto const& [name, it] : table.peers())
            EXPECT_EQ(it.sequence, 4U) << table.local_instance() << " of " << name;
    }
}

// Guards against more than one relay while all instances hear each other.
TEST(report_routes, each_data_centre_has_one_relay)
{
    std::map<std::string, int> relays;
    for (std::size_t i = 0; i < 103; ++i)
    {
        if (find_report_routes(at(10s), table_of(i, 103)).local_is_relay)
            ++relays[data_centre_of(i)];
    }
    EXPECT_EQ(relays.size(), data_centres);
    for (auto const& it : relays)
        EXPECT_EQ(it.second, 1) << it.first;
}

// Guards against instances of a large deployment that count as silent between two reports.
TEST(report_routes, no_instance_is_silent_within_two_report_intervals)
{
    for (std::size_t const count : {25U, 103U, 300U})
    {
        auto const table = table_of(0, count);
        auto const two_reports = 2 * (table.local_report_interval() + relay_interval);
        EXPECT_EQ(table.silent_count(at(10s) + 2 * table.local_report_interval()), 0U) << count;
        std::size_t remote_silent = 0;
        for (auto const& [name, it] : table.peers())
            remote_silent += table.is_remote(it) && table.is_silent(at(10s) + two_reports, it);
        EXPECT_EQ(remote_silent, 0U) << count;
        EXPECT_EQ(table.silent_count(at(19s)), count - 1) << count;
    }
}

// Guards against a relayed report that is dropped because a partial one of the same instance, sent
// directly, overtook it.
TEST(report_routes, a_newer_partial_report_does_not_hide_a_full_one)
{
    peer_table table("local", {.local_data_centre = "dc-0"});
    auto partial = report_of(1, 8);
    partial.partial = true;
    EXPECT_TRUE(table.apply_report(at(0s), partial));
    EXPECT_TRUE(table.apply_report(at(0s), report_of(1, 7)));
    EXPECT_FALSE(table.apply_report(at(0s), report_of(1, 7)));
    EXPECT_FALSE(table.apply_report(at(0s), partial));
}

// Guards against an instance that left and comes back with a relayed report that is late.
TEST(report_routes, a_late_report_does_not_bring_back_an_instance_that_left)
{
    peer_table table("local", {.local_data_centre = "dc-0"});
    table.apply_report(at(0s), report_of(1, 1));
    auto leaving = report_of(1, 3);
    leaving.leaving = true;
    table.apply_report(at(0s), leaving);
    EXPECT_FALSE(table.apply_report(at(1s), report_of(1, 2)));
    EXPECT_EQ(table.instance_count(), 1U);
}

} // namespace
} // namespace savorymount::membership
