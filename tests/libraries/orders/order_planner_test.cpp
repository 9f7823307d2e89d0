#include "../limits/virtual_time_queue.hpp"
#include "../seeded_property.hpp"
#include <savorymount/orders/order_planner.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace savorymount::orders
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point epoch{seconds(1000)};
using action = slot_record::action_kind;

/// The input of a simulated rollout: the engines start with the old versions and should serve the
/// new ones.
struct rollout_scenario
{
    std::uint32_t seed = 0;
    std::size_t engines = 3;
    group_config config_before;
    group_config config_after;
    /// Times at which a random agent and its engine crash; they restart without models.
    std::vector<base::duration> crash_times;
    bool stale_agent_list = true;
};

/// Simulates the agents, engines, log and agent list of one group under a virtual clock.
class simulated_group
{
public:
    explicit simulated_group(rollout_scenario scenario)
        : scenario_(std::move(scenario)), random_(scenario_.seed)
    {
        events_.run_until(epoch);
        for (std::size_t n = 0; n < scenario_.engines; ++n)
        {
            agents_.emplace_back();
            start(n);
        }
        // All engines serve the old versions when the new ones are published.
        std::vector<std::string> ids;
        for (auto const& it : agents_)
            ids.push_back(it.id());
        auto const models = order_planner::assign(scenario_.config_before.models, ids);
        for (std::size_t n = 0; n < agents_.size(); ++n)
        {
            if (models[n])
                agents_[n].serving = {*models[n]};
        }
    }

    void run(base::duration duration)
    {
        for (auto const crash_time : scenario_.crash_times)
            events_.at(epoch + crash_time,
                       [this] { crash(random_.uniform_below(agents_.size())); });
        // Continues after the rollout is complete, to check that nothing is undone.
        for (base::duration elapsed{}; elapsed < duration; elapsed += seconds(20))
        {
            auto const complete = is_complete() && elapsed > seconds(80);
            events_.run_until(epoch + elapsed + seconds(20));
            if (complete)
                return;
        }
    }

    bool is_complete() const
    {
        auto const served = [this](desired_model const& it)
        {
            return serving_count(it.variant) >= it.engine_count;
        };
        return !serves_undesired() && std::all_of(scenario_.config_after.models.begin(),
                                                  scenario_.config_after.models.end(), served);
    }

    std::size_t max_loading = 0;
    /// Fewest engines that served a model in any version, by model.
    std::map<std::string, std::size_t> fewest_serving;
    unsigned orders = 0;
    /// Unloads of the last engine of a version before enough engines served the next version.
    unsigned early_unload_count = 0;

    std::size_t serving_count(model_variant const& variant) const
    {
        std::size_t out = 0;
        for (auto const& it : agents_)
            out += it.alive && it.serving.count(variant) != 0 ? 1U : 0U;
        return out;
    }

    bool serves_undesired() const
    {
        for (auto const& it : agents_)
        {
            for (auto const& variant : it.serving)
            {
                if (std::none_of(
                        scenario_.config_after.models.begin(), scenario_.config_after.models.end(),
                        [&](desired_model const& desired) { return desired.variant == variant; }))
                    return true;
            }
        }
        return false;
    }

    unsigned slot_record_count() const { return static_cast<unsigned>(log_.size()); }

private:
    struct simulated_agent
    {
        std::string name;
        unsigned incarnation = 0;
        bool alive = true;
        bool loading = false;
        bool operation_running = false;
        std::set<model_variant> serving;
        std::optional<model_load_slots> slots;
        std::optional<order_planner> planner;
        std::size_t records_read = 0;
        std::vector<engine_report> reports;
        std::string id() const { return name + "#" + std::to_string(incarnation); }
    };

    base::duration random_delay(unsigned max_ms)
    {
        return milliseconds(1 + static_cast<int>(random_.uniform_below(max_ms)));
    }

    void start(std::size_t n)
    {
        auto const incarnation = agents_[n].incarnation + 1;
        agents_[n] = simulated_agent{};
        agents_[n].incarnation = incarnation;
        agents_[n].name = "agent-" + std::to_string(n);
        agents_[n].slots.emplace("bench");
        agents_[n].planner.emplace(agents_[n].id());
        record_agent_list();
        events_.after(random_delay(500), [this, n, incarnation] { run_step(n, incarnation); });
    }

    void crash(std::size_t n)
    {
        auto& it = agents_[n];
        if (!it.alive)
            return;
        it.alive = false;
        it.loading = false;
        it.serving.clear();
        record_agent_list();
        events_.after(random_delay(5'000), [this, n] { start(n); });
    }

    void record_agent_list()
    {
        std::vector<limits::agent_list::entry> entries;
        for (auto const& it : agents_)
        {
            if (it.alive)
                entries.push_back({it.id(), false});
        }
        agent_lists_[events_.now()] = limits::agent_list(entries);
    }

    limits::agent_list const& delayed_agent_list()
    {
        auto const lag = scenario_.stale_agent_list ? random_delay(10'000) : base::duration::zero();
        auto const found = agent_lists_.upper_bound(std::max(events_.now() - lag, epoch));
        return std::prev(found)->second;
    }

    // Reads some or all new log records, and requests reports from some of the other agents.
    void update_reports(simulated_agent& it)
    {
        auto const unread = log_.size() - it.records_read;
        auto const count =
            random_.uniform_below(3) == 0 ? random_.uniform_below(unread + 1) : unread;
        for (std::uint64_t n = 0; n < count; ++n, ++it.records_read)
            it.slots->apply(events_.now(), it.records_read + 1, log_[it.records_read]);
        it.slots->apply_agent_list(events_.now(), delayed_agent_list());
        std::vector<engine_report> reports;
        for (auto const& other : agents_)
        {
            if (!other.alive)
                continue;
            auto const previous =
                std::find_if(it.reports.begin(), it.reports.end(),
                             [&](auto const& known) { return known.agent == other.id(); });
            auto const own = &other == &it;
            if (!own && previous != it.reports.end() && random_.uniform_below(2) == 0)
                reports.push_back(*previous);
            else
                reports.push_back({other.id(),
                                   true,
                                   false,
                                   {other.serving.begin(), other.serving.end()},
                                   events_.now()});
        }
        it.reports = std::move(reports);
    }

    void run_step(std::size_t n, unsigned incarnation)
    {
        auto& it = agents_[n];
        if (it.incarnation != incarnation || !it.alive)
            return;
        events_.after(random_delay(600), [this, n, incarnation] { run_step(n, incarnation); });
        if (it.operation_running)
            return;
        update_reports(it);
        auto const step =
            it.planner->next_step(events_.now(), scenario_.config_after, it.reports, *it.slots);
        if (step.slot_action)
            append(n, incarnation, *step.slot_action);
        if (step.order)
            execute(n, incarnation, *step.order);
        update_observed_extremes();
    }

    void append(std::size_t n, unsigned incarnation, action kind)
    {
        auto& it = agents_[n];
        it.operation_running = true;
        slot_record const record{"bench", it.name, std::to_string(it.incarnation), kind};
        events_.after(random_delay(300),
                      [this, record]
                      {
                          log_.push_back(record);
                          // A lost acknowledgement makes the transport append the record again.
                          if (random_.uniform_below(10) == 0)
                              log_.push_back(record);
                      });
        events_.after(milliseconds(400), [this, n, incarnation] { finish(n, incarnation); });
    }

    void finish(std::size_t n, unsigned incarnation)
    {
        auto& it = agents_[n];
        if (it.incarnation == incarnation)
            it.operation_running = false;
    }

    void execute(std::size_t n, unsigned incarnation, engine_order const& order)
    {
        auto& it = agents_[n];
        ++orders;
        EXPECT_EQ(order.fencing_token, scenario_.config_after.fencing_token);
        if (order.kind == engine_order::order_kind::unload)
        {
            it.serving.erase(order.variant);
            early_unload_count += is_early_unload(order.variant) ? 1U : 0U;
            return;
        }
        EXPECT_LT(it.serving.size(), scenario_.config_after.models_per_engine);
        it.operation_running = true;
        it.loading = true;
        events_.after(milliseconds(500) + random_delay(2'000),
                      [this, n, incarnation, variant = order.variant]
                      {
                          auto& agent = agents_[n];
                          if (agent.incarnation != incarnation || !agent.alive)
                              return;
                          agent.loading = false;
                          agent.operation_running = false;
                          agent.serving.insert(variant);
                      });
    }

    /// True if the last engine of a version unloaded it while too few served the next version.
    bool is_early_unload(model_variant const& unloaded) const
    {
        for (auto const& desired : scenario_.config_after.models)
        {
            if (desired.variant.model != unloaded.model || serving_count(unloaded) > 0)
                continue;
            auto const loading =
                std::min(desired.engine_count, scenario_.config_after.max_concurrent_loads);
            return serving_count(desired.variant) <
                   std::max<std::size_t>(1, desired.engine_count - loading);
        }
        return false;
    }

    void update_observed_extremes()
    {
        std::size_t loading = 0;
        for (auto const& it : agents_)
            loading += it.alive && it.loading ? 1U : 0U;
        max_loading = std::max(max_loading, loading);
        for (auto const& desired : scenario_.config_after.models)
        {
            std::size_t count = 0;
            for (auto const& it : agents_)
                count += std::any_of(it.serving.begin(), it.serving.end(),
                                     [&](model_variant const& variant)
                                     { return variant.model == desired.variant.model; })
                             ? 1U
                             : 0U;
            auto const known = fewest_serving.emplace(desired.variant.model, count).first;
            known->second = std::min(known->second, count);
        }
    }

    rollout_scenario scenario_;
    base::random_source random_;
    tests::virtual_time_queue events_;
    std::vector<simulated_agent> agents_;
    std::vector<slot_record> log_;
    std::map<base::time_point, limits::agent_list> agent_lists_;
};

rollout_scenario generate_scenario()
{
    rollout_scenario out;
    out.seed = *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>());
    auto const models = *rc::gen::inRange<std::size_t>(1, 4);
    out.engines = 0;
    for (std::size_t n = 0; n < models; ++n)
    {
        auto const engines = *rc::gen::inRange<std::size_t>(2, 6);
        auto const name = std::string(1, static_cast<char>('a' + n));
        out.engines += engines;
        out.config_before.models.push_back({{name, "", "1"}, engines});
        auto const version = *rc::gen::element(std::string("1"), std::string("2"));
        out.config_after.models.push_back({{name, "", version}, engines});
    }
    out.engines += *rc::gen::inRange<std::size_t>(0, 3);
    out.config_after.max_concurrent_loads = *rc::gen::inRange<std::size_t>(1, 5);
    out.config_after.models_per_engine = *rc::gen::inRange<std::size_t>(1, 3);
    out.config_after.fencing_token = 77;
    return out;
}

// Guards against a rollout that leaves a model with too few engines because agents decide at the
// same time on reports and logs of different age.
TEST(order_planner, rollout_keeps_serving_capacity)
{
    unsigned orders = 0;
    tests::check_seeded(
        0x51, 500,
        [&]
        {
            auto const scenario = generate_scenario();
            simulated_group group(scenario);
            group.run(seconds(300));
            orders += group.orders;
            RC_ASSERT(group.max_loading <= scenario.config_after.max_concurrent_loads);
            for (auto const& desired : scenario.config_after.models)
            {
                auto const missing =
                    std::min(desired.engine_count, scenario.config_after.max_concurrent_loads);
                auto const min_serving =
                    scenario.config_after.models_per_engine > 1
                        ? desired.engine_count
                        : std::max<std::size_t>(1, desired.engine_count - missing);
                auto const found = group.fewest_serving.find(desired.variant.model);
                RC_ASSERT(found != group.fewest_serving.end());
                RC_ASSERT(found->second >= min_serving);
            }
            RC_ASSERT(group.is_complete());
        },
        false);
    EXPECT_GT(orders, 1'000U);
}

// Guards against slots that crashed agents keep, and against more concurrent loads than the group
// allows while agents crash and restart.
TEST(order_planner, rollout_completes_despite_agent_crashes)
{
    tests::check_seeded(
        0x52, 250,
        []
        {
            auto scenario = generate_scenario();
            scenario.crash_times = *rc::gen::container<std::vector<base::duration>>(
                *rc::gen::inRange<std::size_t>(1, 8),
                rc::gen::map(rc::gen::inRange(100, 60'000),
                             [](int n) { return base::duration(milliseconds(n)); }));
            simulated_group group(scenario);
            group.run(seconds(400));
            RC_ASSERT(group.max_loading <= scenario.config_after.max_concurrent_loads);
            RC_ASSERT(group.is_complete());
        },
        false);
}

// Guards against slot records when there is nothing to load or unload.
TEST(order_planner, appends_no_slot_records_when_nothing_changes)
{
    rollout_scenario scenario;
    scenario.engines = 5;
    scenario.config_before.models = {{{"a", "", "1"}, 3}, {{"b", "", "1"}, 2}};
    scenario.config_after = scenario.config_before;
    simulated_group group(scenario);
    group.run(seconds(60));
    EXPECT_EQ(group.slot_record_count(), 0U);
    EXPECT_EQ(group.orders, 0U);
}

// Guards against a single engine that unloads its version before it serves the next one.
TEST(order_planner, single_engine_loads_before_it_unloads)
{
    order_planner planner("agent#1");
    model_load_slots slots("bench");
    group_config config;
    config.models = {{{"a", "", "2"}, 1}};
    config.fencing_token = 9;
    auto const now = epoch;
    std::vector<engine_report> engines = {{"agent#1", true, false, {{"a", "", "1"}}, now}};
    EXPECT_EQ(planner.next_step(now, config, engines, slots),
              (planner_step{std::nullopt, action::take}));
    slots.apply(now, 1, {"bench", "agent", "1", action::take});
    EXPECT_EQ(planner.next_step(now, config, engines, slots),
              (planner_step{engine_order{engine_order::order_kind::load, {"a", "", "2"}, 9},
                            std::nullopt}));
    engines[0].serving = {{"a", "", "1"}, {"a", "", "2"}};
    EXPECT_EQ(planner.next_step(now, config, engines, slots).order,
              (engine_order{engine_order::order_kind::unload, {"a", "", "1"}, 9}));
    engines[0].serving = {{"a", "", "2"}};
    EXPECT_EQ(planner.next_step(now, config, engines, slots),
              (planner_step{std::nullopt, action::release}));
    // An engine with room for one model can't be reloaded without a second engine.
    config.models_per_engine = 1;
    engines[0].serving = {{"a", "", "1"}};
    EXPECT_EQ(planner.next_step(now, config, engines, slots).order, std::nullopt);
}

// Guards against treating a report from before another engine's reload as its current state.
TEST(order_planner, reports_older_than_a_slot_record_are_ignored)
{
    order_planner planner("agent#1");
    model_load_slots slots("bench");
    group_config config;
    config.models = {{{"a", "", "2"}, 2}};
    config.models_per_engine = 1;
    slots.apply(epoch, 1, {"bench", "other", "1", action::take});
    slots.apply(epoch + seconds(1), 2, {"bench", "other", "1", action::release});
    auto const now = epoch + seconds(2);
    std::vector<engine_report> engines = {
        {"agent#1", true, false, {{"a", "", "1"}}, now},
        {"other#1", true, false, {{"a", "", "1"}}, epoch + milliseconds(900)}};
    EXPECT_EQ(planner.next_step(now, config, engines, slots), planner_step{});
    engines[1].report_requested_at = now;
    EXPECT_EQ(planner.next_step(now, config, engines, slots).slot_action, action::take);
}

// Guards against orders that are based on outdated reports, such as after a suspended process.
TEST(order_planner, expired_own_report_yields_no_order)
{
    order_planner planner("agent#1");
    model_load_slots const slots("bench");
    group_config config;
    config.models = {{{"a", "", "2"}, 1}};
    std::vector<engine_report> const engines = {{"agent#1", true, false, {}, epoch}};
    EXPECT_EQ(planner.next_step(epoch + seconds(4), config, engines, slots), planner_step{});
}

// Guards against models that move between engines when only the agent list or a version changes.
TEST(order_planner, assignment_is_stable)
{
    tests::check_seeded(
        0x53, 300,
        []
        {
            auto const scenario = generate_scenario();
            std::vector<std::string> agents;
            for (std::size_t n = 0; n < scenario.engines; ++n)
                agents.push_back("agent-" + std::to_string(n) + "#1");
            auto const old_assignment =
                order_planner::assign(scenario.config_before.models, agents);
            auto const new_assignment = order_planner::assign(scenario.config_after.models, agents);
            for (std::size_t n = 0; n < agents.size(); ++n)
            {
                RC_ASSERT(old_assignment[n].has_value() == new_assignment[n].has_value());
                RC_ASSERT(
                    (!old_assignment[n] || old_assignment[n]->model == new_assignment[n]->model));
            }
            // The result depends neither on the order of the list nor on restarts.
            auto reversed = agents;
            std::reverse(reversed.begin(), reversed.end());
            reversed.back() = "agent-0#2";
            auto reversed_assignment =
                order_planner::assign(scenario.config_after.models, reversed);
            std::reverse(reversed_assignment.begin(), reversed_assignment.end());
            RC_ASSERT(reversed_assignment == new_assignment);
            // With fewer engines than desired, every model still gets one.
            auto const few_agents = std::vector<std::string>(
                agents.begin(),
                agents.begin() + static_cast<std::ptrdiff_t>(scenario.config_after.models.size()));
            std::set<std::string> models;
            for (auto const& it : order_planner::assign(scenario.config_after.models, few_agents))
                models.insert(it->model);
            RC_ASSERT(models.size() == scenario.config_after.models.size());
        });
}

// Guards against more slot holders than the group allows, and against slots that stopped agents
// keep.
TEST(model_load_slots, slots_are_held_in_append_order)
{
    model_load_slots slots("bench");
    auto const take = [&](std::uint64_t offset, char const* agent)
    {
        slots.apply(epoch, offset, {"bench", agent, "1", action::take});
    };
    take(1, "a");
    take(2, "b");
    take(3, "c");
    take(4, "a");
    slots.apply(epoch, 5, {"other", "d", "1", action::take});
    EXPECT_TRUE(slots.holds_slot("a#1", 2));
    EXPECT_TRUE(slots.holds_slot("b#1", 2));
    EXPECT_FALSE(slots.holds_slot("c#1", 2));
    EXPECT_TRUE(slots.in_queue("c#1"));
    EXPECT_FALSE(slots.in_queue("d#1"));
    EXPECT_TRUE(slots.holds_earlier_slot("a#1", "b#1", 2));
    EXPECT_FALSE(slots.holds_earlier_slot("b#1", "a#1", 2));
    slots.apply(epoch, 6, {"bench", "b", "1", action::release});
    EXPECT_TRUE(slots.holds_slot("c#1", 2));
    // A missing agent loses its slot only after the longest lag of the list.
    slots.apply_agent_list(epoch, limits::agent_list({{"c#1"}}));
    slots.apply_agent_list(epoch + seconds(9), limits::agent_list({{"c#1"}}));
    EXPECT_TRUE(slots.holds_slot("a#1", 2));
    slots.apply_agent_list(epoch + seconds(10), limits::agent_list({{"c#1"}}));
    EXPECT_FALSE(slots.in_queue("a#1"));
}

// Guards against readers that fail on malformed records.
TEST(slot_record, round_trip_and_errors)
{
    base::error reason;
    slot_record const record{"bench", "a", "1", action::release};
    EXPECT_EQ(parse_slot_record(to_json(record), reason), record);
    EXPECT_FALSE(parse_slot_record(nlohmann::json::parse(R"({"kind":"slot","group":"g","agent":"a",
        "incarnation":"i","action":"hold"})"),
                                   reason));
    EXPECT_EQ(reason.kind, base::error_kind::invalid_input);
    EXPECT_FALSE(parse_slot_record(nlohmann::json::array(), reason));
}

} // namespace
} // namespace savorymount::orders
