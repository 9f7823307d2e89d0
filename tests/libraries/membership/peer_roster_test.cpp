#include <savorymount/membership/peer_roster.hpp>

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
TEST(peer_roster, takes_each_report_once_and_in_order)
{
    peer_roster roster("own", {});
    EXPECT_TRUE(roster.heard(at(0s), report("a", "1", 5)));
    EXPECT_FALSE(roster.heard(at(0s), report("a", "1", 5)));
    EXPECT_FALSE(roster.heard(at(0s), report("a", "1", 4)));
    EXPECT_TRUE(roster.heard(at(0s), report("a", "2", 1)));
    EXPECT_FALSE(roster.heard(at(0s), report("own", "1", 9)));
    EXPECT_EQ(roster.instances(), 2U);
}

// Guards against an instance that waits for the store to answer a peer that it hears.
TEST(peer_roster, learns_the_address_of_a_peer_from_its_reports)
{
    peer_roster roster("own", {});
    roster.heard(at(0s), report("a", "1", 1));
    EXPECT_EQ(roster.peers().at("a").address, "10.0.0.1:7600");
}

// Guards against shares that are kept for ever for instances that are gone, and against forgetting
// one that is only cut off for a moment.
TEST(peer_roster, counts_silent_instances_until_it_forgets_them)
{
    peer_roster roster("own", {});
    roster.heard(at(0s), report("a", "1", 1));
    roster.announced(at(0s), "b", "1", "10.0.0.2:7600");
    EXPECT_EQ(roster.silent(at(900ms)), 0U);
    EXPECT_EQ(roster.silent(at(1100ms)), 2U);
    roster.expire(at(11s));
    EXPECT_EQ(roster.instances(), 1U);
    // The store goes on naming the process that is gone.
    roster.announced(at(11s), "b", "1", "10.0.0.2:7600");
    EXPECT_EQ(roster.instances(), 1U);
    roster.announced(at(12s), "b", "2", "10.0.0.2:7600");
    EXPECT_EQ(roster.instances(), 2U);
}

// Guards against wrongful refusals after a rolling restart: in a recorded day the first instance
// that was back refused 355 requests, since it left a share for each of the others, which had shut
// down in good order.
TEST(peer_roster, leaves_no_share_for_an_instance_that_said_it_leaves)
{
    peer_roster roster("own", {});
    roster.heard(at(0s), report("a", "1", 1));
    auto last = report("a", "1", 2);
    last.leaving = true;
    EXPECT_TRUE(roster.heard(at(0s), last));
    EXPECT_FALSE(roster.heard(at(0s), last));
    roster.announced(at(1s), "a", "1", "10.0.0.1:7600");
    EXPECT_EQ(roster.instances(), 1U);
    EXPECT_TRUE(roster.heard(at(2s), report("a", "2", 1)));
    EXPECT_EQ(roster.instances(), 2U);
}

} // namespace
} // namespace savorymount::membership
