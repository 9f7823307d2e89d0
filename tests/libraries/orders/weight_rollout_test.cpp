#include <savorymount/orders/weight_rollout.hpp>

#include <gtest/gtest.h>

#include <set>
#include <tests/libraries/time_points.hpp>

namespace savorymount::orders
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

constexpr std::uint64_t fence = 7;

/// Engines on one version that do what they are ordered.
struct fake_fleet
{
    std::vector<rollout_engine> engines;
    std::map<std::string, std::uint64_t> accepted;
    std::size_t most_loading = 0;

    explicit fake_fleet(std::size_t count, double running)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            membership::upstream_record record;
            record.id = "engine-" + std::to_string(i);
            record.address = "10.0.0.1:" + std::to_string(8000 + i);
            record.data_centre = i % 2 == 0 ? "liege" : "namur";
            record.weights["crew"] = 1;
            engines.push_back({record, running, false});
        }
    }

    rollout_engine& find(std::string const& id)
    {
        return *std::find_if(engines.begin(), engines.end(),
                             [&](auto const& it) { return it.record.id == id; });
    }

    /// Answers every report and order of one step.
    void carry_out(base::time_point now, weight_rollout& rollout, rollout_step const& step)
    {
        for (auto const& it : step.reports)
            rollout.reported(now, it, {false, accepted[it], {}});
        for (auto const& it : step.orders)
        {
            EXPECT_EQ(it.accepted_before, accepted[it.upstream]++);
            EXPECT_EQ(it.fence, fence);
            find(it.upstream).record.weights[it.model] = it.version;
            rollout.answered(now, it, order_outcome::accepted);
        }
        std::size_t loading = 0;
        for (auto const& it : engines)
            loading += rollout.loading_until(it.record.id).value_or(now) > now ? 1 : 0;
        most_loading = std::max(most_loading, loading);
    }

    bool all_on(std::uint64_t version) const
    {
        return std::all_of(engines.begin(), engines.end(),
                           [&](auto const& it) { return it.record.weights.at("crew") == version; });
    }
};

/// Plays the rollout in steps of 50 ms; returns when the whole fleet had `version`.
base::duration play(weight_rollout& rollout, fake_fleet& fleet, wanted_weights const& wanted,
                    std::uint64_t version, base::duration limit)
{
    for (base::duration time{}; time < limit; time += 50ms)
    {
        if (fleet.all_on(version))
            return time;
        fleet.carry_out(at(time), rollout, rollout.next(at(time), fence, wanted, fleet.engines));
    }
    return limit;
}

// Guards against more loads at once than the engines bear, and against a rollout that takes longer
// than requests may begin on older weights.
TEST(weight_rollout, brings_all_engines_to_the_version_in_time)
{
    wanted_weights wanted;
    wanted.named(at(0s), "crew", 2);
    for (double const running : {0.0, 3.0, 40.0})
    {
        weight_rollout rollout({});
        fake_fleet fleet(18, running);
        EXPECT_LT(play(rollout, fleet, wanted, 2, 8s), 6s) << running;
        EXPECT_LE(fleet.most_loading, 3U);
    }
}

// Guards against running streams that pause for a load although the engine could have been emptied
// first, and against emptying when the other engines are busy.
TEST(weight_rollout, empties_engines_before_their_load_only_while_the_others_have_room)
{
    wanted_weights wanted;
    wanted.named(at(0s), "crew", 2);
    fake_fleet calm(12, 2);
    weight_rollout rollout({});
    calm.carry_out(at(0s), rollout, rollout.next(at(0s), fence, wanted, calm.engines));
    auto const step = rollout.next(at(50ms), fence, wanted, calm.engines);
    EXPECT_TRUE(step.orders.empty());
    EXPECT_EQ(step.emptying.size(), 4U);
    fake_fleet busy(12, 20);
    weight_rollout other({});
    busy.carry_out(at(0s), other, other.next(at(0s), fence, wanted, busy.engines));
    EXPECT_EQ(other.next(at(50ms), fence, wanted, busy.engines).orders.size(), 3U);
}

// Guards against an order that is carried out late and takes an engine back: the count that it
// carries must be asked for again after an order without an answer.
TEST(weight_rollout, asks_for_the_order_count_after_an_order_without_an_answer)
{
    wanted_weights wanted;
    wanted.named(at(0s), "crew", 2);
    fake_fleet fleet(1, 0);
    weight_rollout rollout({});
    fleet.carry_out(at(0s), rollout, rollout.next(at(0s), fence, wanted, fleet.engines));
    auto const step = rollout.next(at(50ms), fence, wanted, fleet.engines);
    ASSERT_EQ(step.orders.size(), 1U);
    rollout.answered(at(400ms), step.orders[0], order_outcome::unanswered);
    EXPECT_TRUE(rollout.next(at(500ms), fence, wanted, fleet.engines).reports.empty());
    auto const again = rollout.next(at(700ms), fence, wanted, fleet.engines);
    EXPECT_EQ(again.reports, std::vector<std::string>{"engine-0"});
    EXPECT_TRUE(again.orders.empty());
}

// Guards against a newer version that waits for the one before it, and against engines that fall
// behind when versions follow each other.
TEST(weight_rollout, goes_straight_to_the_newest_version_and_serves_the_oldest_engines_first)
{
    wanted_weights wanted;
    wanted.named(at(0s), "crew", 2);
    wanted.named(at(3s), "crew", 3);
    weight_rollout rollout({});
    fake_fleet fleet(6, 2);
    for (auto& it : fleet.engines)
        it.record.weights["crew"] = 2;
    fleet.engines[5].record.weights["crew"] = 1;
    fleet.carry_out(at(5s), rollout, rollout.next(at(5s), fence, wanted, fleet.engines));
    auto const step = rollout.next(at(5050ms), fence, wanted, fleet.engines);
    ASSERT_FALSE(step.orders.empty());
    EXPECT_EQ(step.orders[0].upstream, "engine-5");
    EXPECT_EQ(step.orders[0].version, 3U);
}

// Guards against an engine that started again under its id and refuses orders with the old count.
TEST(weight_rollout, forgets_what_an_engine_accepted_before_it_started_again)
{
    wanted_weights wanted;
    wanted.named(at(0s), "crew", 2);
    weight_rollout rollout({});
    fake_fleet fleet(1, 0);
    fleet.carry_out(at(0s), rollout, rollout.next(at(0s), fence, wanted, fleet.engines));
    fleet.engines[0].record.started_unix_ms = 5;
    auto const step = rollout.next(at(50ms), fence, wanted, fleet.engines);
    EXPECT_EQ(step.reports.size(), 1U);
    EXPECT_TRUE(step.orders.empty());
}

// Guards against orders to engines that leave or can't be reached.
TEST(weight_rollout, leaves_out_engines_that_leave_or_are_unreachable)
{
    wanted_weights wanted;
    wanted.named(at(0s), "crew", 2);
    weight_rollout rollout({});
    fake_fleet fleet(2, 0);
    fleet.engines[0].record.draining = true;
    fleet.engines[1].unreachable = true;
    EXPECT_EQ(rollout.next(at(0s), fence, wanted, fleet.engines), rollout_step{});
}

} // namespace
} // namespace savorymount::orders
