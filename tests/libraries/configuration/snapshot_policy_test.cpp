#include <savorymount/configuration/snapshot_policy.hpp>

#include <gtest/gtest.h>

#include <algorithm>

namespace savorymount::configuration
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration retention = 40min;
constexpr std::uint64_t version = 12;
std::vector<std::string> const live{"agent-1#a", "agent-2#b", "agent-3#c", "entry-1#d"};

base::time_point at(base::duration since_start)
{
    return base::time_point(24h + since_start);
}

/// The instance of each rank.
std::vector<std::string> by_rank()
{
    auto out = live;
    std::sort(
        out.begin(), out.end(),
        [](auto const& left, auto const& right)
        { return rendezvous_rank(left, version, live) < rendezvous_rank(right, version, live); });
    return out;
}

// Guards against snapshots that expire because their only writer has failed, and against a fleet
// that writes them all at once.
TEST(snapshot_policy, each_rank_waits_one_interval_longer)
{
    auto const instances = by_rank();
    for (std::size_t rank = 0; rank < instances.size(); ++rank)
    {
        EXPECT_EQ(rendezvous_rank(instances[rank], version, live), rank);
        snapshot_policy policy(instances[rank], retention);
        policy.on_snapshot_seen(at(5min), 5min);
        auto const due = 10min * (rank + 1);
        EXPECT_FALSE(policy.should_append(at(due - 1s), version, live));
        EXPECT_TRUE(policy.should_append(at(due), version, live));
    }
}

// Guards against duties that stay with one instance for good.
TEST(snapshot_policy, duty_moves_with_the_version)
{
    bool moved = false;
    for (std::uint64_t it = 1; it <= 20; ++it)
        moved = moved || rendezvous_rank("agent-1#a", it, live) !=
                             rendezvous_rank("agent-1#a", it + 1, live);
    EXPECT_TRUE(moved);
}

TEST(snapshot_policy, older_snapshots_read_later_do_not_count)
{
    snapshot_policy policy(by_rank().front(), retention);
    policy.on_snapshot_seen(at(0min), 0min);
    policy.on_snapshot_seen(at(1min), 30min);
    EXPECT_FALSE(policy.should_append(at(9min), version, live));
    policy.on_snapshot_seen(at(9min), 0min);
    EXPECT_FALSE(policy.should_append(at(18min), version, live));
    EXPECT_TRUE(policy.should_append(at(19min), version, live));
}

// Guards against a log whose changes expire before the first snapshot, because instances restart
// more often than the interval and count the age from their own start.
TEST(snapshot_policy, without_a_snapshot_the_oldest_record_counts)
{
    snapshot_policy policy(by_rank().front(), retention);
    policy.on_record(at(0min), 9min);
    policy.on_record(at(0min), 2min);
    EXPECT_FALSE(policy.should_append(at(0min), version, live));
    EXPECT_TRUE(policy.should_append(at(1min), version, live));
    EXPECT_TRUE(
        snapshot_policy(by_rank().front(), retention).should_append(at(0min), version, live));
    EXPECT_FALSE(
        snapshot_policy(by_rank().back(), retention).should_append(at(0min), version, live));
}

// Guards against an append at each poll while the log is slow to show the first one.
TEST(snapshot_policy, append_is_not_repeated_at_once)
{
    snapshot_policy policy(by_rank().front(), retention);
    policy.on_snapshot_seen(at(0min), 20min);
    EXPECT_TRUE(policy.should_append(at(0min), version, live));
    policy.on_append(at(0min));
    EXPECT_FALSE(policy.should_append(at(2min), version, live));
    EXPECT_TRUE(policy.should_append(at(3min), version, live));
}

// Guards against a herd of writers when the list is not known.
TEST(snapshot_policy, instance_outside_the_list_comes_last)
{
    EXPECT_EQ(rendezvous_rank("agent-9#z", version, live), live.size() + 1);
    EXPECT_EQ(rendezvous_rank("agent-9#z", version, {}), 1U);
}

} // namespace
} // namespace savorymount::configuration
