#include <savorymount/limits/bucket_lease.hpp>

#include <gtest/gtest.h>

#include <tests/libraries/time_points.hpp>

namespace savorymount::limits
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::at;

template <typename Action>
bool contains(std::vector<lease_action> const& actions)
{
    for (auto const& it : actions)
    {
        if (std::holds_alternative<Action>(it))
            return true;
    }
    return false;
}

// One agent whose log and list reads return immediately.
struct lease_fixture
{
    lease_directory directory;
    bucket_lease lease{"counter", "a", "1"};
    std::uint64_t offset = 0;

    lease_fixture() { directory.begin_read(1, 1); }

    std::vector<lease_action> read_log(base::duration time)
    {
        return lease.on_log_read(at(time), at(time), directory);
    }

    std::vector<lease_action> read_list(base::duration time, std::vector<agent_list::entry> entries)
    {
        return lease.on_list_read(at(time), at(time), agent_list(std::move(entries)));
    }

    std::uint64_t append_record(char const* agent, char const* incarnation, std::uint64_t previous)
    {
        directory.apply(++offset, {"counter", agent, incarnation, previous, 0});
        return offset;
    }

    void acquire_lease()
    {
        read_log({});
        read_list({}, {{"a#1"}});
        append_record("a", "1", 0);
        read_log({});
    }
};

// Guards against a takeover wait for a bucket that never had an owner.
TEST(bucket_lease, first_owner_starts_with_full_bucket_without_waiting)
{
    lease_fixture it;
    EXPECT_TRUE(it.read_log({}).empty());
    auto const actions = it.read_list({}, {{"a#1"}});
    ASSERT_EQ(actions.size(), 1U);
    auto const& append = std::get<append_lease>(actions[0]);
    EXPECT_EQ(append.record, (lease_record{"counter", "a", "1", 0, 0}));
    it.directory.apply(4, append.record);
    EXPECT_EQ(it.read_log(milliseconds(10)), (std::vector<lease_action>{start_granting{4, true}}));
    EXPECT_TRUE(it.lease.may_grant(at(milliseconds(20))));
}

// Guards against an agent that appends a lease record although another agent is preferred, or
// although it is leaving.
TEST(bucket_lease, only_preferred_owner_appends_lease)
{
    lease_fixture it;
    it.read_log({});
    std::vector<agent_list::entry> const two_agents = {{"a#1"}, {"b#1"}};
    auto const preferred = agent_list(two_agents).preferred_owner("counter") == "a#1";
    EXPECT_EQ(it.read_list({}, two_agents).size(), preferred ? 1U : 0U);
    lease_fixture leaving_agent;
    leaving_agent.read_log({});
    EXPECT_TRUE(leaving_agent.read_list({}, {{"a#1", true}}).empty());
}

// Guards against an owner that keeps granting although neither log nor list confirms its lease, and
// against a paused owner that grants before its timers have run.
TEST(bucket_lease, owner_stops_without_confirmation_and_resumes)
{
    lease_fixture it;
    it.acquire_lease();
    EXPECT_FALSE(it.lease.may_grant(at(seconds(3))));
    EXPECT_EQ(it.lease.tick(at(seconds(3))), (std::vector<lease_action>{stop_granting{1, true}}));
    EXPECT_EQ(it.read_list(seconds(4), {{"a#1"}}), (std::vector<lease_action>{resume_granting{1}}));
    EXPECT_TRUE(it.lease.may_grant(at(seconds(6))));
}

// Guards against an owner that relies on the list after it was missing from it: another agent may
// have seen it missing for long enough and taken over.
TEST(bucket_lease, absence_from_list_needs_confirmation_by_log)
{
    lease_fixture it;
    it.acquire_lease();
    it.read_list(seconds(1), {});
    it.read_list(seconds(2), {{"a#1"}});
    EXPECT_FALSE(it.lease.may_grant(at(seconds(4))));
    it.read_log(seconds(5));
    it.read_list(seconds(6), {{"a#1"}});
    EXPECT_TRUE(it.lease.may_grant(at(milliseconds(8'900))));
}

// Guards against an owner that keeps granting by list reads alone after its record has expired from
// the log.
TEST(bucket_lease, list_alone_confirms_for_two_renewal_intervals)
{
    lease_fixture it;
    it.lease = bucket_lease("counter", "a", "1", {}, seconds(10));
    it.acquire_lease();
    it.read_list(seconds(19), {{"a#1"}});
    EXPECT_TRUE(it.lease.may_grant(at(milliseconds(19'900))));
    EXPECT_FALSE(it.lease.may_grant(at(seconds(20))));
}

// Guards against two owners at once: a takeover requires that the holder is absent for the whole
// time, and the new owner waits until old grants have expired.
TEST(bucket_lease, takeover_waits_for_absence_and_old_grants)
{
    lease_fixture it;
    it.append_record("b", "1", 0);
    std::vector<lease_action> actions;
    int elapsed_seconds = 0;
    for (; elapsed_seconds < 30 && !contains<append_lease>(actions); ++elapsed_seconds)
    {
        it.read_log(seconds(elapsed_seconds));
        actions = it.read_list(seconds(elapsed_seconds), {{"a#1"}});
    }
    // The first read is at second 0, and 16 s of absence are required.
    EXPECT_EQ(elapsed_seconds, 17);
    auto const fencing_token = it.append_record("a", "1", 1);
    EXPECT_TRUE(it.read_log(seconds(17)).empty());
    for (; elapsed_seconds < 40; ++elapsed_seconds)
    {
        auto const actions_at_second = it.read_log(seconds(elapsed_seconds));
        if (contains<start_granting>(actions_at_second))
        {
            EXPECT_EQ(actions_at_second,
                      (std::vector<lease_action>{start_granting{fencing_token, false}}));
            break;
        }
    }
    EXPECT_EQ(elapsed_seconds, 23);
}

// Guards against a takeover from an owner that was listed between two reads that are far apart.
TEST(bucket_lease, gap_between_list_reads_restarts_absence)
{
    lease_fixture it;
    it.append_record("b", "1", 0);
    it.read_log({});
    it.read_list({}, {{"a#1"}});
    it.read_log(seconds(20));
    EXPECT_TRUE(it.read_list(seconds(20), {{"a#1"}}).empty());
}

// Guards against an owner that keeps granting after another agent has taken over.
TEST(bucket_lease, newer_lease_record_ends_ownership)
{
    lease_fixture it;
    it.acquire_lease();
    it.append_record("b", "1", 1);
    EXPECT_EQ(it.lease.on_log_records(at(seconds(1)), it.directory),
              (std::vector<lease_action>{stop_granting{1, false}}));
    EXPECT_FALSE(it.lease.may_grant(at(seconds(1))));
    EXPECT_EQ(it.lease.fencing_token(), 0U);
}

// Guards against an accepted lease that is not noticed because the acknowledgement of its append
// was lost.
TEST(bucket_lease, log_shows_lease_when_acknowledgement_is_lost)
{
    lease_fixture it;
    it.read_log({});
    auto const actions = it.read_list({}, {{"a#1"}});
    auto const append = std::get<append_lease>(actions.at(0));
    it.lease.on_append_finished(at(milliseconds(100)), append.id, false);
    it.directory.apply(4, append.record);
    EXPECT_TRUE(contains<start_granting>(it.read_log(milliseconds(200))));
}

// Guards against a release before the grants have expired, and against a next owner that waits
// although the lease was released.
TEST(bucket_lease, release_waits_for_grants_and_next_owner_starts_without_waiting)
{
    lease_fixture it;
    it.acquire_lease();
    EXPECT_EQ(it.lease.leave(at(seconds(1))), (std::vector<lease_action>{stop_granting{1, false}}));
    EXPECT_FALSE(it.lease.may_grant(at(seconds(1))));
    EXPECT_TRUE(it.read_log(seconds(2)).empty());
    auto const actions = it.lease.on_grants_expired(at(seconds(2)));
    auto const append = std::get<append_lease>(actions.at(0));
    EXPECT_EQ(append.record, (lease_record{"counter", "", "1", 1, 0}));
    it.directory.apply(++it.offset, append.record);
    it.lease.on_append_finished(at(seconds(2)), append.id, true);
    it.read_log(seconds(2));
    EXPECT_TRUE(it.lease.released());

    bucket_lease next("counter", "b", "1");
    next.on_log_read(at(seconds(3)), at(seconds(3)), it.directory);
    EXPECT_TRUE(contains<append_lease>(
        next.on_list_read(at(seconds(3)), at(seconds(3)), agent_list({{"b#1"}}))));
    it.append_record("b", "1", 2);
    EXPECT_EQ(next.on_log_read(at(seconds(3)), at(seconds(3)), it.directory),
              (std::vector<lease_action>{start_granting{3, false}}));
}

// Guards against a new owner that releases before old grants have expired: the next owner would
// start without waiting.
TEST(bucket_lease, release_during_takeover_wait_is_delayed_to_its_end)
{
    lease_fixture it;
    it.append_record("b", "1", 0);
    it.append_record("a", "1", 1);
    it.read_log({});
    EXPECT_TRUE(it.lease.leave(at(seconds(1))).empty());
    EXPECT_TRUE(it.read_log(seconds(5)).empty());
    EXPECT_TRUE(contains<append_lease>(it.read_log(seconds(6))));
}

// Guards against a lease that expires from the log while its holder is running.
TEST(bucket_lease, renews_lease_before_its_record_expires)
{
    lease_fixture it;
    it.lease = bucket_lease("counter", "a", "1", {}, seconds(10));
    it.acquire_lease();
    EXPECT_TRUE(it.read_log(seconds(9)).empty());
    auto const actions = it.read_log(seconds(10));
    auto const append = std::get<append_lease>(actions.at(0));
    EXPECT_EQ(append.record, (lease_record{"counter", "a", "1", 1, 1}));
    it.directory.apply(30, append.record);
    it.lease.on_append_finished(at(seconds(10)), append.id, true);
    EXPECT_TRUE(it.read_log(seconds(14)).empty());
    EXPECT_TRUE(it.lease.may_grant(at(seconds(14))));
    EXPECT_EQ(it.lease.fencing_token(), 1U);
}

// Guards against a restarted agent that mistakes the lease of its previous process for its own.
TEST(bucket_lease, other_incarnation_is_another_holder)
{
    lease_fixture it;
    it.append_record("a", "0", 0);
    EXPECT_TRUE(it.read_log({}).empty());
    EXPECT_EQ(it.lease.fencing_token(), 0U);
}

} // namespace
} // namespace savorymount::limits
