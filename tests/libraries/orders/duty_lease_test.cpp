#include <savorymount/orders/duty_lease.hpp>

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <tests/libraries/seeded_property.hpp>
#include <vector>

namespace savorymount::orders
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration lease_time = 3s;

base::time_point at(base::duration time)
{
    return base::time_point(1000s + time);
}

duty_lease make_lease(std::string const& instance, std::string const& incarnation = "1")
{
    return duty_lease({.instance = instance,
                       .incarnation = incarnation,
                       .lease = lease_time,
                       .renewal = 1s,
                       .margin = 250ms});
}

/// A log that takes conditional appends.
struct fake_log
{
    std::vector<lease_record> records;

    std::uint64_t end() const { return records.size(); }

    bool append(lease_append const& it)
    {
        if (it.expected_end != end())
            return false;
        records.push_back(it.record);
        return true;
    }

    std::optional<logged_lease> newest() const
    {
        if (records.empty())
            return std::nullopt;
        return logged_lease{records.back(), end() - 1};
    }
};

void take(duty_lease& lease, fake_log& log, base::duration time)
{
    lease.observed(at(time), log.newest(), log.end());
    auto const append = lease.next(at(time));
    ASSERT_TRUE(append);
    ASSERT_TRUE(log.append(*append));
    lease.accepted(at(time), log.end());
}

// Guards against a deployment that waits a whole lease before its first holder.
TEST(duty_lease, is_taken_at_once_when_nobody_ever_held_it)
{
    fake_log log;
    auto lease = make_lease("a");
    EXPECT_FALSE(lease.next(at(0s)));
    take(lease, log, 0s);
    EXPECT_EQ(lease.fence(at(1s)), 1U);
    EXPECT_FALSE(lease.fence(at(2751ms)));
}

// Guards against two holders within one lease, and against a successor that never comes.
TEST(duty_lease, passes_on_only_after_the_lease_and_its_margin)
{
    fake_log log;
    auto first = make_lease("a");
    auto second = make_lease("b");
    take(first, log, 0s);
    second.observed(at(100ms), log.newest(), log.end());
    EXPECT_FALSE(second.next(at(3300ms)));
    auto const append = second.next(at(3351ms));
    ASSERT_TRUE(append);
    EXPECT_EQ(append->record.fence, 2U);
}

// Guards against a restarted holder that waits for its own earlier lease to end.
TEST(duty_lease, is_taken_at_once_by_the_next_process_of_the_holder)
{
    fake_log log;
    auto first = make_lease("a", "1");
    take(first, log, 0s);
    auto next = make_lease("a", "2");
    take(next, log, 500ms);
    EXPECT_EQ(next.fence(at(600ms)), 2U);
}

// Guards against a holder that goes on after another one took the duty.
TEST(duty_lease, ends_when_another_holder_is_seen)
{
    fake_log log;
    auto first = make_lease("a");
    take(first, log, 0s);
    log.records.push_back({"b", "1", 2, false, {}});
    first.observed(at(1s), log.newest(), log.end());
    EXPECT_FALSE(first.fence(at(1s)));
    first.refused();
    EXPECT_FALSE(first.fence(at(1s)));
}

// Guards against a lost answer: the append took effect, and counts from when it was sent.
TEST(duty_lease, learns_from_a_read_that_an_unanswered_append_took_effect)
{
    fake_log log;
    auto lease = make_lease("a");
    lease.observed(at(0s), log.newest(), log.end());
    auto const append = lease.next(at(0s));
    ASSERT_TRUE(log.append(*append));
    lease.unanswered();
    EXPECT_FALSE(lease.fence(at(900ms)));
    lease.observed(at(1s), log.newest(), log.end());
    EXPECT_EQ(lease.fence(at(1s)), 1U);
    EXPECT_FALSE(lease.fence(at(2800ms)));
}

// Guards against instances that read seldom, since they hear of the holder, and so wait a whole
// lease from their next read; and against one that trusts what it was told of an older record.
TEST(duty_lease, counts_a_record_from_when_it_was_told)
{
    fake_log log;
    auto first = make_lease("a");
    take(first, log, 0s);
    EXPECT_EQ(first.held_offset(at(100ms)), 0U);
    auto second = make_lease("b");
    second.told(at(100ms), *first.held_offset(at(100ms)));
    auto third = second;
    second.observed(at(3s), log.newest(), log.end());
    EXPECT_FALSE(second.next(at(3350ms)));
    EXPECT_TRUE(second.next(at(3351ms)));
    take(first, log, 1s);
    third.observed(at(3s), log.newest(), log.end());
    EXPECT_FALSE(third.next(at(6250ms)));
    EXPECT_TRUE(third.next(at(6251ms)));
}

// Guards against a successor that waits although the holder was idle, or acts too early after one
// that was not.
TEST(duty_lease, passes_on_sooner_when_the_released_holder_was_idle)
{
    fake_log log;
    auto first = make_lease("a");
    take(first, log, 0s);
    first.acted(at(500ms));
    auto const release = first.release(at(2s));
    ASSERT_TRUE(release);
    EXPECT_EQ(release->record.idle, 1500ms);
    ASSERT_TRUE(log.append(*release));
    EXPECT_FALSE(first.fence(at(2s)));
    auto second = make_lease("b");
    second.observed(at(2s), log.newest(), log.end());
    EXPECT_FALSE(second.next(at(3700ms)));
    EXPECT_TRUE(second.next(at(3751ms)));
}

// Guards against any interleaving of reads, lost answers and freezes in which two processes hold
// the duty at one moment, or a holder acts with a fencing token below one that acted before.
TEST(duty_lease, never_has_two_holders_in_generated_histories)
{
    tests::check_seeded(
        0x1ea5e, 400,
        []
        {
            fake_log log;
            std::vector<duty_lease> processes{make_lease("a"), make_lease("b"), make_lease("c")};
            std::map<std::size_t, base::time_point> frozen_until;
            base::time_point now = at(0s);
            std::uint64_t highest_fence = 0;
            auto const steps = *rc::gen::resize(
                150, rc::gen::container<std::vector<std::tuple<unsigned, unsigned, unsigned>>>(
                         rc::gen::tuple(rc::gen::inRange(0U, 3U), rc::gen::inRange(0U, 10U),
                                        rc::gen::inRange(0U, 900U))));
            for (auto const& [process, kind, wait] : steps)
            {
                now += std::chrono::milliseconds(wait);
                if (now < frozen_until[process])
                    continue;
                auto& it = processes[process];
                bool const told = wait % 3 == 0;
                for (auto const& other : processes)
                {
                    if (auto const offset = other.held_offset(now); told && offset)
                        it.told(now, *offset);
                }
                if (kind == 9)
                {
                    frozen_until[process] = now + 5s;
                    continue;
                }
                it.observed(now, log.newest(), log.end());
                if (auto const append = it.next(now))
                {
                    bool const taken = kind != 8 && log.append(*append);
                    if (kind >= 6)
                        it.unanswered();
                    else if (taken)
                        it.accepted(now, log.end());
                    else
                        it.refused();
                }
                std::size_t holders = 0;
                for (auto const& other : processes)
                {
                    if (auto const fence = other.fence(now))
                    {
                        ++holders;
                        RC_ASSERT(*fence >= highest_fence);
                        highest_fence = *fence;
                    }
                }
                RC_ASSERT(holders <= 1U);
            }
        });
}

} // namespace
} // namespace savorymount::orders
