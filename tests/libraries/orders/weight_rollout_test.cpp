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

constexpr std::uint64_t fencing_token = 7;

/// Engines that start on version 1 and execute every order.
struct fake_cluster
{
    std::vector<rollout_engine> engines;
    std::map<std::string, std::uint64_t> accepted_orders;
    std::size_t max_loading = 0;

    explicit fake_cluster(std::size_t count, double active_requests)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            membership::upstream_record record;
            record.id = "engine-" + std::to_string(i);
            record.address = "10.0.0.1:" + std::to_string(8000 + i);
            record.data_centre = i % 2 == 0 ? "liege" : "namur";
            record.weights["crew"] = 1;
            engines.push_back({record, active_requests, false});
        }
    }

    rollout_engine& find(std::string const& id)
    {
        return *std::find_if(engines.begin(), engines.end(),
                             [&](auto const& it) { return it.record.id == id; });
    }

    /// Responds to all report requests and orders of one step.
    void execute(base::time_point now, weight_rollout& rollout, rollout_step const& step)
    {
        for (auto const& it : step.report_requests)
            rollout.on_report(now, it, {false, accepted_orders[it], {}});
        for (auto const& it : step.orders)
        {
            EXPECT_EQ(it.expected_accepted_orders, accepted_orders[it.upstream]++);
            EXPECT_EQ(it.fencing_token, fencing_token);
            find(it.upstream).record.weights[it.model] = it.version;
            rollout.on_order_response(now, it, order_outcome::accepted);
        }
        std::size_t loading = 0;
        for (auto const& it : engines)
            loading += rollout.loading_until(it.record.id).value_or(now) > now ? 1 : 0;
        max_loading = std::max(max_loading, loading);
    }

    bool all_serve(std::uint64_t version) const
    {
        return std::all_of(engines.begin(), engines.end(),
                           [&](auto const& it) { return it.record.weights.at("crew") == version; });
    }
};

/// Runs the rollout in steps of 50 ms. Returns the time at which all engines serve `version`.
base::duration run_rollout(weight_rollout& rollout, fake_cluster& cluster,
                           desired_weights const& desired, std::uint64_t version,
                           base::duration limit)
{
    for (base::duration time{}; time < limit; time += 50ms)
    {
        if (cluster.all_serve(version))
            return time;
        cluster.execute(at(time), rollout,
                        rollout.next_step(at(time), fencing_token, desired, cluster.engines));
    }
    return limit;
}

// Guards against more concurrent loads than allowed, and against a rollout that takes longer than
// requests may begin on older weights.
TEST(weight_rollout, updates_all_engines_within_the_time_limit)
{
    desired_weights desired;
    desired.add_version("crew", 2, at(0s));
    for (double const active_requests : {0.0, 3.0, 40.0})
    {
        weight_rollout rollout({});
        fake_cluster cluster(18, active_requests);
        EXPECT_LT(run_rollout(rollout, cluster, desired, 2, 8s), 6s) << active_requests;
        EXPECT_LE(cluster.max_loading, 3U);
    }
}

// Guards against running streams that pause during a load although the engine could have been
// drained first, and against draining while the other engines are busy.
TEST(weight_rollout, drains_engines_before_their_load_only_while_the_others_have_capacity)
{
    desired_weights desired;
    desired.add_version("crew", 2, at(0s));
    fake_cluster idle_cluster(12, 2);
    weight_rollout rollout({});
    idle_cluster.execute(at(0s), rollout,
                         rollout.next_step(at(0s), fencing_token, desired, idle_cluster.engines));
    auto const step = rollout.next_step(at(50ms), fencing_token, desired, idle_cluster.engines);
    EXPECT_TRUE(step.orders.empty());
    EXPECT_EQ(step.draining.size(), 4U);
    fake_cluster busy_cluster(12, 20);
    weight_rollout busy_rollout({});
    busy_cluster.execute(
        at(0s), busy_rollout,
        busy_rollout.next_step(at(0s), fencing_token, desired, busy_cluster.engines));
    EXPECT_EQ(busy_rollout.next_step(at(50ms), fencing_token, desired, busy_cluster.engines)
                  .orders.size(),
              3U);
}

// Guards against a delayed order that returns an engine to an older version: after an order without
// a response, the number of accepted orders must be requested again.
TEST(weight_rollout, requests_a_report_after_an_order_without_response)
{
    desired_weights desired;
    desired.add_version("crew", 2, at(0s));
    fake_cluster cluster(1, 0);
    weight_rollout rollout({});
    cluster.execute(at(0s), rollout,
                    rollout.next_step(at(0s), fencing_token, desired, cluster.engines));
    auto const step = rollout.next_step(at(50ms), fencing_token, desired, cluster.engines);
    ASSERT_EQ(step.orders.size(), 1U);
    rollout.on_order_response(at(400ms), step.orders[0], order_outcome::unanswered);
    EXPECT_TRUE(rollout.next_step(at(500ms), fencing_token, desired, cluster.engines)
                    .report_requests.empty());
    auto const next = rollout.next_step(at(700ms), fencing_token, desired, cluster.engines);
    EXPECT_EQ(next.report_requests, std::vector<std::string>{"engine-0"});
    EXPECT_TRUE(next.orders.empty());
}

// Guards against a newer version that waits for the previous one, and against engines that stay on
// an old version when versions follow each other quickly.
TEST(weight_rollout, skips_to_the_newest_version_and_updates_the_oldest_engines_first)
{
    desired_weights desired;
    desired.add_version("crew", 2, at(0s));
    desired.add_version("crew", 3, at(3s));
    weight_rollout rollout({});
    fake_cluster cluster(6, 2);
    for (auto& it : cluster.engines)
        it.record.weights["crew"] = 2;
    cluster.engines[5].record.weights["crew"] = 1;
    cluster.execute(at(5s), rollout,
                    rollout.next_step(at(5s), fencing_token, desired, cluster.engines));
    auto const step = rollout.next_step(at(5050ms), fencing_token, desired, cluster.engines);
    ASSERT_FALSE(step.orders.empty());
    EXPECT_EQ(step.orders[0].upstream, "engine-5");
    EXPECT_EQ(step.orders[0].version, 3U);
}

// Guards against a restarted engine with the same id that rejects orders with the old count.
TEST(weight_rollout, requests_a_new_report_from_a_restarted_engine)
{
    desired_weights desired;
    desired.add_version("crew", 2, at(0s));
    weight_rollout rollout({});
    fake_cluster cluster(1, 0);
    cluster.execute(at(0s), rollout,
                    rollout.next_step(at(0s), fencing_token, desired, cluster.engines));
    cluster.engines[0].record.started_unix_ms = 5;
    auto const step = rollout.next_step(at(50ms), fencing_token, desired, cluster.engines);
    EXPECT_EQ(step.report_requests.size(), 1U);
    EXPECT_TRUE(step.orders.empty());
}

// Guards against orders to engines that are draining or unreachable.
TEST(weight_rollout, skips_draining_and_unreachable_engines)
{
    desired_weights desired;
    desired.add_version("crew", 2, at(0s));
    weight_rollout rollout({});
    fake_cluster cluster(2, 0);
    cluster.engines[0].record.draining = true;
    cluster.engines[1].unreachable = true;
    EXPECT_EQ(rollout.next_step(at(0s), fencing_token, desired, cluster.engines), rollout_step{});
}

// Guards against an engine that is ordered back to older weights, since the leader knows less than
// it.
TEST(weight_rollout, an_engine_that_reports_newer_weights_is_not_ordered_back)
{
    desired_weights desired;
    desired.add_version("crew", 2, at(0s));
    weight_rollout rollout({});
    fake_cluster cluster(1, 0);
    auto const step = rollout.next_step(at(0s), fencing_token, desired, cluster.engines);
    ASSERT_EQ(step.report_requests.size(), 1U);
    rollout.on_report(at(0s), "engine-0", {false, 1, {{"crew", 3}}});
    EXPECT_TRUE(
        rollout.next_step(at(50ms), fencing_token, desired, cluster.engines).orders.empty());
    desired.add_version("crew", 4, at(1s));
    EXPECT_EQ(rollout.next_step(at(1s), fencing_token, desired, cluster.engines).orders.size(), 1U);
}

// Guards against engines that get no requests for a load that may not be ordered yet, and against a
// version that engines load before any record keeps it.
TEST(weight_rollout, orders_and_drains_nothing_before_the_version_is_recorded)
{
    fake_cluster cluster(6, 1);
    desired_weights desired;
    desired.add_version("crew", 1, at(0s));
    desired.add_version("crew", 2, at(0s));
    weight_rollout rollout({});
    bool is_recorded = false;
    rollout.set_order_condition([&](std::string const& model, std::uint64_t version)
                                { return is_recorded && model == "crew" && version == 2; });
    for (auto time = at(0s); time < at(3s); time += 50ms)
    {
        auto const step = rollout.next_step(time, fencing_token, desired, cluster.engines);
        EXPECT_TRUE(step.orders.empty() && step.draining.empty());
        cluster.execute(time, rollout, step);
    }
    is_recorded = true;
    auto const step = rollout.next_step(at(3s), fencing_token, desired, cluster.engines);
    EXPECT_FALSE(step.draining.empty() && step.orders.empty());
}

// Guards against an engine that sends bytes without end and is asked again at once.
TEST(weight_rollout, an_engine_that_sent_no_answer_is_not_asked_again_at_once)
{
    fake_cluster cluster(1, 0);
    desired_weights desired;
    desired.add_version("crew", 1, at(0s));
    desired.add_version("crew", 2, at(0s));
    weight_rollout rollout({});
    EXPECT_EQ(rollout.next_step(at(0s), fencing_token, desired, cluster.engines).report_requests,
              std::vector<std::string>{"engine-0"});
    rollout.on_report_failed(at(0s), "engine-0", true);
    EXPECT_EQ(rollout.next_step(at(1900ms), fencing_token, desired, cluster.engines),
              rollout_step{});
    auto const asked = rollout.next_step(at(2s), fencing_token, desired, cluster.engines);
    EXPECT_EQ(asked.report_requests.size(), 1U);
    rollout.on_report(at(2s), "engine-0", {});
    auto const ordered = rollout.next_step(at(2s), fencing_token, desired, cluster.engines);
    ASSERT_EQ(ordered.orders.size(), 1U);
    rollout.on_order_response(at(2s), ordered.orders[0], order_outcome::invalid_answer);
    EXPECT_EQ(rollout.next_step(at(3900ms), fencing_token, desired, cluster.engines),
              rollout_step{});
}

} // namespace
} // namespace savorymount::orders
