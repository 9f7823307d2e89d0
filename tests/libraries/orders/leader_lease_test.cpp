#include <savorymount/orders/leader_lease.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <tests/libraries/seeded_property.hpp>
#include <vector>

namespace savorymount::orders
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration lease_duration = 3s;

base::time_point at(base::duration time)
{
    return base::time_point(1000s + time);
}

leader_lease make_leader_lease(std::string const& instance, std::string const& incarnation = "1")
{
    return leader_lease({.instance = instance,
                         .incarnation = incarnation,
                         .lease_duration = lease_duration,
                         .renewal_interval = 1s,
                         .safety_margin = 250ms});
}

/// A log that supports conditional appends.
struct fake_log
{
    std::vector<leader_lease_record> records;
    std::uint64_t era = first_log_era;

    /// Comes back from a copy that lacks the last `count` records.
    void lose(std::size_t count)
    {
        records.resize(records.size() - std::min(count, records.size()));
        ++era;
    }

    std::uint64_t end() const { return records.size(); }

    bool append(conditional_lease_append const& it)
    {
        if (it.expected_end != end())
            return false;
        records.push_back(it.record);
        return true;
    }

    std::optional<lease_log_entry> newest() const
    {
        if (records.empty())
            return std::nullopt;
        return lease_log_entry{records.back(), end() - 1};
    }
};

void acquire(leader_lease& lease, fake_log& log, base::duration time)
{
    lease.on_log_read(at(time), log.newest(), log.end(), log.era);
    auto const append = lease.next_append(at(time));
    ASSERT_TRUE(append);
    ASSERT_TRUE(log.append(*append));
    lease.on_append_accepted(at(time), log.end());
}

// Guards against a new deployment that waits a full lease duration for its first leader.
TEST(leader_lease, is_acquired_at_once_when_the_log_has_no_lease)
{
    fake_log log;
    auto lease = make_leader_lease("a");
    EXPECT_FALSE(lease.next_append(at(0s)));
    acquire(lease, log, 0s);
    EXPECT_EQ(lease.fencing_token(at(1s)), 1U);
    EXPECT_FALSE(lease.fencing_token(at(2751ms)));
}

// Guards against two holders within one lease duration, and against a lease that is never taken
// over.
TEST(leader_lease, successor_waits_for_the_lease_and_its_safety_margin)
{
    fake_log log;
    auto first = make_leader_lease("a");
    auto second = make_leader_lease("b");
    acquire(first, log, 0s);
    second.on_log_read(at(100ms), log.newest(), log.end());
    EXPECT_FALSE(second.next_append(at(3300ms)));
    auto const append = second.next_append(at(3351ms));
    ASSERT_TRUE(append);
    EXPECT_EQ(append->record.fencing_token, 2U);
}

// Guards against a restarted holder that waits for the lease of its previous process to expire.
TEST(leader_lease, restarted_holder_acquires_it_at_once)
{
    fake_log log;
    auto first = make_leader_lease("a", "1");
    acquire(first, log, 0s);
    auto next = make_leader_lease("a", "2");
    acquire(next, log, 500ms);
    EXPECT_EQ(next.fencing_token(at(600ms)), 2U);
}

// Guards against a holder that continues after another instance acquired the lease.
TEST(leader_lease, is_lost_when_the_log_names_another_holder)
{
    fake_log log;
    auto first = make_leader_lease("a");
    acquire(first, log, 0s);
    log.records.push_back({"b", "1", 2, false, {}});
    first.on_log_read(at(1s), log.newest(), log.end());
    EXPECT_FALSE(first.fencing_token(at(1s)));
    first.on_append_rejected();
    EXPECT_FALSE(first.fencing_token(at(1s)));
}

// Guards against a lost response: the append was accepted, and the lease counts from its sending.
TEST(leader_lease, append_without_response_takes_effect_when_read_from_the_log)
{
    fake_log log;
    auto lease = make_leader_lease("a");
    lease.on_log_read(at(0s), log.newest(), log.end());
    auto const append = lease.next_append(at(0s));
    ASSERT_TRUE(log.append(*append));
    lease.on_append_outcome_unknown();
    EXPECT_FALSE(lease.fencing_token(at(900ms)));
    lease.on_log_read(at(1s), log.newest(), log.end());
    EXPECT_EQ(lease.fencing_token(at(1s)), 1U);
    EXPECT_FALSE(lease.fencing_token(at(2800ms)));
}

// Guards against a successor that reads the log rarely and counts the lease from its read instead
// of the announcement, and against one that applies the announcement of an older record.
TEST(leader_lease, announced_record_counts_from_its_announcement)
{
    fake_log log;
    auto first = make_leader_lease("a");
    acquire(first, log, 0s);
    EXPECT_EQ(first.held_record_offset(at(100ms)), 0U);
    auto second = make_leader_lease("b");
    second.on_leader_announced(at(100ms), *first.held_record_offset(at(100ms)));
    auto third = second;
    second.on_log_read(at(3s), log.newest(), log.end());
    EXPECT_FALSE(second.next_append(at(3350ms)));
    EXPECT_TRUE(second.next_append(at(3351ms)));
    acquire(first, log, 1s);
    third.on_log_read(at(3s), log.newest(), log.end());
    EXPECT_FALSE(third.next_append(at(6250ms)));
    EXPECT_TRUE(third.next_append(at(6251ms)));
}

// Guards against a successor that waits a full lease although the released holder was idle, or that
// acts too early after a holder that was active.
TEST(leader_lease, successor_waits_less_after_release_by_an_idle_holder)
{
    fake_log log;
    auto first = make_leader_lease("a");
    acquire(first, log, 0s);
    first.record_action(at(500ms));
    auto const release = first.release(at(2s));
    ASSERT_TRUE(release);
    EXPECT_EQ(release->record.idle_before_release, 1500ms);
    ASSERT_TRUE(log.append(*release));
    EXPECT_FALSE(first.fencing_token(at(2s)));
    auto second = make_leader_lease("b");
    second.on_log_read(at(2s), log.newest(), log.end());
    EXPECT_FALSE(second.next_append(at(3700ms)));
    EXPECT_TRUE(second.next_append(at(3751ms)));
}

// Guards against two processes holding the lease at the same time, and against fencing tokens that
// decrease, in any interleaving of reads, lost responses and suspended processes.
TEST(leader_lease, never_has_two_holders_in_generated_histories)
{
    tests::check_seeded(
        0x1ea5e, 400,
        []
        {
            fake_log log;
            std::vector<leader_lease> processes{make_leader_lease("a"), make_leader_lease("b"),
                                                make_leader_lease("c")};
            std::map<std::size_t, base::time_point> suspended_until;
            base::time_point now = at(0s);
            std::uint64_t highest_token = 0;
            auto const steps = *rc::gen::resize(
                150, rc::gen::container<std::vector<std::tuple<unsigned, unsigned, unsigned>>>(
                         rc::gen::tuple(rc::gen::inRange(0U, 3U), rc::gen::inRange(0U, 10U),
                                        rc::gen::inRange(0U, 900U))));
            for (auto const& [process, kind, wait] : steps)
            {
                now += std::chrono::milliseconds(wait);
                if (now < suspended_until[process])
                    continue;
                auto& it = processes[process];
                bool const announced = wait % 3 == 0;
                for (auto const& other : processes)
                {
                    if (auto const offset = other.held_record_offset(now); announced && offset)
                        it.on_leader_announced(now, *offset);
                }
                if (kind == 9)
                {
                    suspended_until[process] = now + 5s;
                    continue;
                }
                it.on_log_read(now, log.newest(), log.end());
                if (auto const append = it.next_append(now))
                {
                    bool const appended = kind != 8 && log.append(*append);
                    if (kind >= 6)
                        it.on_append_outcome_unknown();
                    else if (appended)
                        it.on_append_accepted(now, log.end());
                    else
                        it.on_append_rejected();
                }
                std::size_t holders = 0;
                for (auto const& other : processes)
                {
                    if (auto const token = other.fencing_token(now))
                    {
                        ++holders;
                        RC_ASSERT(*token >= highest_token);
                        highest_token = *token;
                    }
                }
                RC_ASSERT(holders <= 1U);
            }
        });
}

// Guards against a lease that nobody holds any more, since the log's end stays below the known one.
TEST(leader_lease, is_held_again_after_the_log_came_back_from_an_older_copy)
{
    fake_log log;
    auto lease = make_leader_lease("a");
    acquire(lease, log, 0s);
    acquire(lease, log, 1s);
    acquire(lease, log, 2s);
    log.lose(2);
    // Its lease has expired meanwhile, so it waits like all others.
    lease.on_log_read(at(5s), log.newest(), log.end(), log.era);
    EXPECT_FALSE(lease.next_append(at(8s)));
    lease.on_log_read(at(8251ms), log.newest(), log.end(), log.era);
    acquire(lease, log, 8251ms);
    EXPECT_GT(lease.fencing_token(at(8300ms)), 1U);
}

// Guards against a holder that gives up its lease although it is in force.
TEST(leader_lease, holder_records_its_lease_again_in_an_older_copy)
{
    fake_log log;
    auto lease = make_leader_lease("a");
    acquire(lease, log, 0s);
    acquire(lease, log, 1s);
    log.lose(2);
    lease.on_log_read(at(2s), log.newest(), log.end(), log.era);
    EXPECT_EQ(lease.fencing_token(at(2s)), 1U);
    acquire(lease, log, 2s);
    EXPECT_GT(lease.fencing_token(at(2s)), 1U);
}

// Guards against a fencing token that is given out twice, and against a second holder whose record
// is the only one in the copy.
TEST(leader_lease, earlier_holder_in_an_older_copy_waits_and_gets_a_new_token)
{
    fake_log log;
    auto first = make_leader_lease("a");
    acquire(first, log, 0s);
    auto second = make_leader_lease("b");
    second.on_log_read(at(100ms), log.newest(), log.end(), log.era);
    acquire(second, log, 3400ms);
    EXPECT_EQ(second.fencing_token(at(3500ms)), 2U);
    log.lose(1);
    first.on_log_read(at(3600ms), log.newest(), log.end(), log.era);
    EXPECT_FALSE(first.next_append(at(6800ms)));
    auto const append = first.next_append(at(6851ms));
    ASSERT_TRUE(append);
    EXPECT_GT(append->record.fencing_token, 2U);
    // The same holds for the next process of that instance.
    auto restarted = make_leader_lease("a", "2");
    restarted.on_log_read(at(4s), log.newest(), log.end(), log.era);
    EXPECT_FALSE(restarted.next_append(at(4s)));
}

// Guards against a record at an offset that was announced in the era before.
TEST(leader_lease, announcement_of_an_earlier_era_does_not_date_a_record)
{
    fake_log log;
    auto first = make_leader_lease("a");
    acquire(first, log, 0s);
    auto second = make_leader_lease("b");
    second.on_leader_announced(at(100ms), 0, first.era());
    log.lose(1);
    second.on_log_read(at(1s), log.newest(), log.end(), log.era);
    acquire(first, log, 2s);
    second.on_log_read(at(4s), log.newest(), log.end(), log.era);
    EXPECT_FALSE(second.next_append(at(7250ms)));
    EXPECT_TRUE(second.next_append(at(7251ms)));
}

// Guards against two holders, and against tokens that decrease or are used twice, when the log
// comes back from older copies at any moment.
TEST(leader_lease, never_has_two_holders_when_the_log_loses_its_newest_records)
{
    tests::check_seeded(
        0xe7a, 400,
        []
        {
            fake_log log;
            std::vector<leader_lease> processes{make_leader_lease("a"), make_leader_lease("b"),
                                                make_leader_lease("c")};
            std::map<std::uint64_t, std::size_t> holder_of_token;
            base::time_point now = at(0s);
            std::uint64_t highest_token = 0;
            auto const steps = *rc::gen::resize(
                150, rc::gen::container<std::vector<std::tuple<unsigned, unsigned, unsigned>>>(
                         rc::gen::tuple(rc::gen::inRange(0U, 3U), rc::gen::inRange(0U, 12U),
                                        rc::gen::inRange(0U, 900U))));
            for (auto const& [process, kind, wait] : steps)
            {
                now += std::chrono::milliseconds(wait);
                if (kind == 11)
                    log.lose(wait % 7);
                auto& it = processes[process];
                for (auto const& other : processes)
                {
                    auto const offset = other.held_record_offset(now);
                    if (wait % 3 == 0 && offset)
                        it.on_leader_announced(now, *offset, other.era());
                }
                if (kind == 10)
                    it = make_leader_lease(std::string(1, "abc"[process]), std::to_string(wait));
                it.on_log_read(now, log.newest(), log.end(), log.era);
                if (auto const append = it.next_append(now))
                {
                    bool const appended = kind != 8 && log.append(*append);
                    if (kind >= 6 && kind <= 8)
                        it.on_append_outcome_unknown();
                    else if (appended)
                        it.on_append_accepted(now, log.end());
                    else
                        it.on_append_rejected();
                }
                std::size_t holders = 0;
                for (std::size_t i = 0; i < processes.size(); ++i)
                {
                    auto const token = processes[i].fencing_token(now);
                    if (!token)
                        continue;
                    ++holders;
                    RC_ASSERT(*token >= highest_token);
                    highest_token = *token;
                    RC_ASSERT(holder_of_token.try_emplace(*token, i).first->second == i);
                }
                RC_ASSERT(holders <= 1U);
            }
        });
}

} // namespace
} // namespace savorymount::orders
