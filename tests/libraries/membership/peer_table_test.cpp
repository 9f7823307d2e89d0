#include <savorymount/membership/peer_table.hpp>

#include <gtest/gtest.h>

#include <random>
#include <set>
#include <tests/libraries/time_points.hpp>

namespace savorymount::membership
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

peer_report make_report(std::string const& instance, std::string const& incarnation,
                        std::uint64_t sequence)
{
    peer_report out;
    out.instance = instance;
    out.incarnation = incarnation;
    out.address = "10.0.0.1:7600";
    out.sequence = sequence;
    return out;
}

// Guards against an older datagram that overwrites a newer report, and against reports of the local
// instance.
TEST(peer_table, applies_each_report_once_and_in_order)
{
    peer_table table("local", {});
    EXPECT_TRUE(table.apply_report(at(0s), make_report("a", "1", 5)));
    EXPECT_FALSE(table.apply_report(at(0s), make_report("a", "1", 5)));
    EXPECT_FALSE(table.apply_report(at(0s), make_report("a", "1", 4)));
    EXPECT_TRUE(table.apply_report(at(0s), make_report("a", "2", 1)));
    EXPECT_FALSE(table.apply_report(at(0s), make_report("local", "1", 9)));
    EXPECT_EQ(table.instance_count(), 2U);
}

// Guards against an instance that was suspended for longer than the removal time and then takes
// all others for gone: it would use their share of every limit.
TEST(peer_table, keeps_the_others_after_the_local_process_was_suspended)
{
    peer_table table("local", {});
    table.apply_report(at(0s), make_report("a", "1", 1));
    table.process_resumed(at(60s));
    table.remove_expired(at(60s));
    EXPECT_EQ(table.instance_count(), 2U);
    EXPECT_EQ(table.silent_count(at(60s)), 1U);
    table.apply_report(at(60100ms), make_report("a", "1", 2));
    EXPECT_EQ(table.silent_count(at(60100ms)), 0U);
}

// Guards against sending no reports to a peer until the store lists it.
TEST(peer_table, adds_a_peer_from_its_report)
{
    peer_table table("local", {});
    table.apply_report(at(0s), make_report("a", "1", 1));
    EXPECT_EQ(table.peers().at("a").address, "10.0.0.1:7600");
}

// Guards against limits that stay divided among instances that no longer exist, and against the
// removal of an instance that is unreachable for a short time.
TEST(peer_table, counts_silent_instances_until_they_are_removed)
{
    peer_table table("local", {});
    table.apply_report(at(0s), make_report("a", "1", 1));
    table.register_peer(at(0s), "b", "1", "10.0.0.2:7600");
    EXPECT_EQ(table.silent_count(at(900ms)), 0U);
    EXPECT_EQ(table.silent_count(at(1100ms)), 2U);
    table.remove_expired(at(11s));
    EXPECT_EQ(table.instance_count(), 1U);
    // The store continues to list the process that was removed.
    table.register_peer(at(11s), "b", "1", "10.0.0.2:7600");
    EXPECT_EQ(table.instance_count(), 1U);
    table.register_peer(at(12s), "b", "2", "10.0.0.2:7600");
    EXPECT_EQ(table.instance_count(), 2U);
}

// Guards against unnecessary rejections after a restart of all instances: on one recorded day the
// first restarted instance rejected 355 requests, because it still reserved a share of the limits
// for each of the others, which had shut down normally.
TEST(peer_table, removes_an_instance_that_reports_its_shutdown)
{
    peer_table table("local", {});
    table.apply_report(at(0s), make_report("a", "1", 1));
    auto leaving_report = make_report("a", "1", 2);
    leaving_report.leaving = true;
    EXPECT_TRUE(table.apply_report(at(0s), leaving_report));
    EXPECT_FALSE(table.apply_report(at(0s), leaving_report));
    table.register_peer(at(1s), "a", "1", "10.0.0.1:7600");
    EXPECT_EQ(table.instance_count(), 1U);
    EXPECT_TRUE(table.apply_report(at(2s), make_report("a", "2", 1)));
    EXPECT_EQ(table.instance_count(), 2U);
}

std::string name_of(char kind, unsigned number)
{
    return kind + std::to_string(number);
}

// Guards against group sizes that drift from the instances as these are listed, report, move,
// restart, leave and expire: report intervals and the use of relays depend on them.
TEST(peer_table, group_sizes_agree_with_the_instances)
{
    constexpr unsigned data_centres = 4;
    constexpr unsigned instances = 40;
    std::mt19937 random(7);
    auto const below = [&](unsigned n)
    {
        return static_cast<unsigned>(random() % n);
    };
    peer_table_options options;
    options.local_data_centre = name_of('c', 0);
    peer_table table("local", options);
    bool used_relays = false;
    for (unsigned step = 0; step < 5000; ++step)
    {
        auto const now = at(step * 20ms);
        auto const instance = name_of('i', below(instances));
        auto const incarnation = std::to_string(step / 500 + below(2));
        auto const data_centre = below(20) == 0 ? "" : name_of('c', below(data_centres));
        if (below(3) == 0)
            table.register_peer(now, instance, incarnation, "10.0.0.2:7600", data_centre);
        else
        {
            auto report = make_report(instance, incarnation, step);
            report.data_centre = data_centre;
            report.leaving = below(10) == 0;
            table.apply_report(now, report);
        }
        // Nothing expires while half of the steps go on, so that the table grows as well.
        if (step / 1000 % 2 == 1)
            table.remove_expired(now);
        std::set<std::string> groups{options.local_data_centre};
        std::size_t local = 1;
        for (auto const& it : table.peers())
        {
            groups.insert(it.second.data_centre);
            local += it.second.data_centre == options.local_data_centre ? 1 : 0;
        }
        bool const relays = table.instance_count() > 12 && groups.size() > 1;
        used_relays = used_relays || relays;
        ASSERT_EQ(table.uses_relays(), relays) << "step " << step;
        ASSERT_EQ(table.direct_count(), relays ? local : table.instance_count()) << "step " << step;
    }
    EXPECT_TRUE(used_relays);
}

// Guards against an older copy of the store that lists an earlier process of an instance: its
// address may be another one, and reports of its successor would count from the start.
TEST(peer_table, an_instance_that_reports_is_not_replaced_by_what_the_store_lists)
{
    peer_table table("local", {});
    EXPECT_TRUE(table.apply_report(at(0s), make_report("a", "2", 5)));
    table.register_peer(at(100ms), "a", "1", "10.0.0.9:7600");
    EXPECT_EQ(table.peers().at("a").incarnation, "2");
    EXPECT_EQ(table.peers().at("a").address, "10.0.0.1:7600");
    EXPECT_FALSE(table.apply_report(at(200ms), make_report("a", "2", 5)));
    // Once it is silent, the store may know its next process.
    table.register_peer(at(5s), "a", "3", "10.0.0.9:7600");
    EXPECT_EQ(table.peers().at("a").incarnation, "3");
}

} // namespace
} // namespace savorymount::membership
