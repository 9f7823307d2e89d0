#include <savorymount/membership/peer_table.hpp>

#include <gtest/gtest.h>

#include <tests/libraries/time_points.hpp>

namespace savorymount::membership
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

peer_report report(std::string const& instance, std::string const& incarnation,
                   std::uint64_t sequence)
{
    peer_report out;
    out.instance = instance;
    out.incarnation = incarnation;
    out.address = "10.0.0.1:7600";
    out.sequence = sequence;
    return out;
}

// Guards against a late datagram that undoes a newer one, and against one's own.
TEST(peer_table, takes_each_report_once_and_in_order)
{
    peer_table table("own", {});
    EXPECT_TRUE(table.apply_report(at(0s), report("a", "1", 5)));
    EXPECT_FALSE(table.apply_report(at(0s), report("a", "1", 5)));
    EXPECT_FALSE(table.apply_report(at(0s), report("a", "1", 4)));
    EXPECT_TRUE(table.apply_report(at(0s), report("a", "2", 1)));
    EXPECT_FALSE(table.apply_report(at(0s), report("own", "1", 9)));
    EXPECT_EQ(table.instance_count(), 2U);
}

// Guards against an instance that waits for the store to answer a peer that it hears.
TEST(peer_table, learns_the_address_of_a_peer_from_its_reports)
{
    peer_table table("own", {});
    table.apply_report(at(0s), report("a", "1", 1));
    EXPECT_EQ(table.peers().at("a").address, "10.0.0.1:7600");
}

// Guards against shares that are kept for ever for instances that are gone, and against forgetting
// one that is only cut off for a moment.
TEST(peer_table, counts_silent_instances_until_it_forgets_them)
{
    peer_table table("own", {});
    table.apply_report(at(0s), report("a", "1", 1));
    table.register_peer(at(0s), "b", "1", "10.0.0.2:7600");
    EXPECT_EQ(table.silent_count(at(900ms)), 0U);
    EXPECT_EQ(table.silent_count(at(1100ms)), 2U);
    table.remove_expired(at(11s));
    EXPECT_EQ(table.instance_count(), 1U);
    // The store goes on naming the process that is gone.
    table.register_peer(at(11s), "b", "1", "10.0.0.2:7600");
    EXPECT_EQ(table.instance_count(), 1U);
    table.register_peer(at(12s), "b", "2", "10.0.0.2:7600");
    EXPECT_EQ(table.instance_count(), 2U);
}

// Guards against wrongful refusals after a rolling restart: in a recorded day the first instance
// that was back refused 355 requests, since it left a share for each of the others, which had shut
// down in good order.
TEST(peer_table, leaves_no_share_for_an_instance_that_said_it_leaves)
{
    peer_table table("own", {});
    table.apply_report(at(0s), report("a", "1", 1));
    auto last = report("a", "1", 2);
    last.leaving = true;
    EXPECT_TRUE(table.apply_report(at(0s), last));
    EXPECT_FALSE(table.apply_report(at(0s), last));
    table.register_peer(at(1s), "a", "1", "10.0.0.1:7600");
    EXPECT_EQ(table.instance_count(), 1U);
    EXPECT_TRUE(table.apply_report(at(2s), report("a", "2", 1)));
    EXPECT_EQ(table.instance_count(), 2U);
}

} // namespace
} // namespace savorymount::membership
