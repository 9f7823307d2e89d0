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

/// A generated rollout: engines start with the old version and are to serve the new one.
struct rollout
{
    std::uint32_t seed = 0;
    std::size_t engines = 3;
    group_orders before;
    group_orders after;
    /// Moments at which a random engine and its agent end and come back empty.
    std::vector<base::duration> crashes;
    bool list_lags = true;
};

/// Agents with their engines, the log and the list of one group under a virtual clock.
class orders_world
{
public:
    explicit orders_world(rollout plan) : plan_(std::move(plan)), random_(plan_.seed)
    {
        time_.run_until(epoch);
        for (std::size_t n = 0; n < plan_.engines; ++n)
        {
            nodes_.emplace_back();
            start(n);
        }
        // The old version is in place when the new one is published.
        std::vector<std::string> ids;
        for (auto const& it : nodes_)
            ids.push_back(it.id());
        auto const models = order_planner::assign(plan_.before.models, ids);
        for (std::size_t n = 0; n < nodes_.size(); ++n)
        {
            if (models[n])
                nodes_[n].serving = {*models[n]};
        }
    }

    void run(base::duration length)
    {
        for (auto const at : plan_.crashes)
            time_.at(epoch + at, [this] { crash(random_.below(nodes_.size())); });
        // Goes on for a while after the rollout is complete, to see that nothing is undone.
        for (base::duration at{}; at < length; at += seconds(20))
        {
            auto const complete = converged() && at > seconds(80);
            time_.run_until(epoch + at + seconds(20));
            if (complete)
                return;
        }
    }

    bool converged() const
    {
        auto const served = [this](wanted_model const& it)
        {
            return serving(it.what) >= it.engines;
        };
        return !any_unwanted() &&
               std::all_of(plan_.after.models.begin(), plan_.after.models.end(), served);
    }

    std::size_t most_loading = 0;
    /// Fewest engines that served a model in any version, by model.
    std::map<std::string, std::size_t> fewest;
    unsigned orders = 0;
    /// Unloads of the last copy of a version before enough engines served the next one.
    unsigned early_unloads = 0;

    std::size_t serving(model_version const& what) const
    {
        std::size_t out = 0;
        for (auto const& it : nodes_)
            out += it.alive && it.serving.count(what) != 0 ? 1U : 0U;
        return out;
    }

    bool any_unwanted() const
    {
        for (auto const& it : nodes_)
        {
            for (auto const& what : it.serving)
            {
                if (std::none_of(plan_.after.models.begin(), plan_.after.models.end(),
                                 [&](wanted_model const& wanted) { return wanted.what == what; }))
                    return true;
            }
        }
        return false;
    }

    unsigned slot_records() const { return static_cast<unsigned>(log_.size()); }

private:
    struct node
    {
        std::string name;
        unsigned life = 0;
        bool alive = true;
        bool loading = false;
        bool busy = false;
        std::set<model_version> serving;
        std::optional<load_slots> slots;
        std::optional<order_planner> planner;
        std::size_t read = 0;
        std::vector<engine_report> reports;
        std::string id() const { return name + "#" + std::to_string(life); }
    };

    base::duration random_delay(unsigned most_ms)
    {
        return milliseconds(1 + static_cast<int>(random_.below(most_ms)));
    }

    void start(std::size_t n)
    {
        auto const life = nodes_[n].life + 1;
        nodes_[n] = node{};
        nodes_[n].life = life;
        nodes_[n].name = "agent-" + std::to_string(n);
        nodes_[n].slots.emplace("bench");
        nodes_[n].planner.emplace(nodes_[n].id());
        record_list();
        time_.after(random_delay(500), [this, n, life] { tick(n, life); });
    }

    void crash(std::size_t n)
    {
        auto& it = nodes_[n];
        if (!it.alive)
            return;
        it.alive = false;
        it.loading = false;
        it.serving.clear();
        record_list();
        time_.after(random_delay(5'000), [this, n] { start(n); });
    }

    void record_list()
    {
        std::vector<limits::agent_list::entry> entries;
        for (auto const& it : nodes_)
        {
            if (it.alive)
                entries.push_back({it.id(), false});
        }
        lists_[time_.now()] = limits::agent_list(entries);
    }

    limits::agent_list const& list_now()
    {
        auto const lag = plan_.list_lags ? random_delay(10'000) : base::duration::zero();
        auto const found = lists_.upper_bound(std::max(time_.now() - lag, epoch));
        return std::prev(found)->second;
    }

    // Reads some or all new records of the log, and asks some of the others for reports.
    void look_around(node& it)
    {
        auto const unread = log_.size() - it.read;
        auto const count = random_.below(3) == 0 ? random_.below(unread + 1) : unread;
        for (std::uint64_t n = 0; n < count; ++n, ++it.read)
            it.slots->apply(time_.now(), it.read + 1, log_[it.read]);
        it.slots->list_read(time_.now(), list_now());
        std::vector<engine_report> reports;
        for (auto const& other : nodes_)
        {
            if (!other.alive)
                continue;
            auto const old =
                std::find_if(it.reports.begin(), it.reports.end(),
                             [&](auto const& known) { return known.agent == other.id(); });
            auto const own = &other == &it;
            if (!own && old != it.reports.end() && random_.below(2) == 0)
                reports.push_back(*old);
            else
                reports.push_back({other.id(),
                                   true,
                                   false,
                                   {other.serving.begin(), other.serving.end()},
                                   time_.now()});
        }
        it.reports = std::move(reports);
    }

    void tick(std::size_t n, unsigned life)
    {
        auto& it = nodes_[n];
        if (it.life != life || !it.alive)
            return;
        time_.after(random_delay(600), [this, n, life] { tick(n, life); });
        if (it.busy)
            return;
        look_around(it);
        auto const step = it.planner->next(time_.now(), plan_.after, it.reports, *it.slots);
        if (step.slot)
            append(n, life, *step.slot);
        if (step.order)
            carry_out(n, life, *step.order);
        measure();
    }

    void append(std::size_t n, unsigned life, action what)
    {
        auto& it = nodes_[n];
        it.busy = true;
        slot_record const record{"bench", it.name, std::to_string(it.life), what};
        time_.after(random_delay(300),
                    [this, record]
                    {
                        log_.push_back(record);
                        // A transport that lost the acknowledgement appends again.
                        if (random_.below(10) == 0)
                            log_.push_back(record);
                    });
        time_.after(milliseconds(400), [this, n, life] { finish(n, life); });
    }

    void finish(std::size_t n, unsigned life)
    {
        auto& it = nodes_[n];
        if (it.life == life)
            it.busy = false;
    }

    void carry_out(std::size_t n, unsigned life, engine_order const& order)
    {
        auto& it = nodes_[n];
        ++orders;
        EXPECT_EQ(order.fence, plan_.after.fence);
        if (order.kind == engine_order::order_kind::unload)
        {
            it.serving.erase(order.what);
            early_unloads += is_early(order.what) ? 1U : 0U;
            return;
        }
        EXPECT_LT(it.serving.size(), plan_.after.models_per_engine);
        it.busy = true;
        it.loading = true;
        time_.after(milliseconds(500) + random_delay(2'000),
                    [this, n, life, what = order.what]
                    {
                        auto& at = nodes_[n];
                        if (at.life != life || !at.alive)
                            return;
                        at.loading = false;
                        at.busy = false;
                        at.serving.insert(what);
                    });
    }

    /// True if the last copy of a version went while too few engines served the next version.
    bool is_early(model_version const& unloaded) const
    {
        for (auto const& wanted : plan_.after.models)
        {
            if (wanted.what.model != unloaded.model || serving(unloaded) > 0)
                continue;
            auto const loading = std::min(wanted.engines, plan_.after.loading_at_once);
            return serving(wanted.what) < std::max<std::size_t>(1, wanted.engines - loading);
        }
        return false;
    }

    void measure()
    {
        std::size_t loading = 0;
        for (auto const& it : nodes_)
            loading += it.alive && it.loading ? 1U : 0U;
        most_loading = std::max(most_loading, loading);
        for (auto const& wanted : plan_.after.models)
        {
            std::size_t count = 0;
            for (auto const& it : nodes_)
                count += std::any_of(it.serving.begin(), it.serving.end(),
                                     [&](model_version const& what)
                                     { return what.model == wanted.what.model; })
                             ? 1U
                             : 0U;
            auto const known = fewest.emplace(wanted.what.model, count).first;
            known->second = std::min(known->second, count);
        }
    }

    rollout plan_;
    base::random_source random_;
    tests::virtual_time_queue time_;
    std::vector<node> nodes_;
    std::vector<slot_record> log_;
    std::map<base::time_point, limits::agent_list> lists_;
};

rollout any_rollout()
{
    rollout out;
    out.seed = *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>());
    auto const models = *rc::gen::inRange<std::size_t>(1, 4);
    out.engines = 0;
    for (std::size_t n = 0; n < models; ++n)
    {
        auto const engines = *rc::gen::inRange<std::size_t>(2, 6);
        auto const name = std::string(1, static_cast<char>('a' + n));
        out.engines += engines;
        out.before.models.push_back({{name, "", "1"}, engines});
        auto const version = *rc::gen::element(std::string("1"), std::string("2"));
        out.after.models.push_back({{name, "", version}, engines});
    }
    out.engines += *rc::gen::inRange<std::size_t>(0, 3);
    out.after.loading_at_once = *rc::gen::inRange<std::size_t>(1, 5);
    out.after.models_per_engine = *rc::gen::inRange<std::size_t>(1, 3);
    out.after.fence = 77;
    return out;
}

// Guards against a rollout that leaves a model without engines: agents decide at the same moment,
// on reports and logs of different age.
TEST(order_planner, rollout_keeps_serving_capacity)
{
    unsigned orders = 0;
    tests::check_seeded(
        0x51, 500,
        [&]
        {
            auto const plan = any_rollout();
            orders_world world(plan);
            world.run(seconds(300));
            orders += world.orders;
            RC_ASSERT(world.most_loading <= plan.after.loading_at_once);
            for (auto const& wanted : plan.after.models)
            {
                auto const missing = std::min(wanted.engines, plan.after.loading_at_once);
                auto const least = plan.after.models_per_engine > 1
                                       ? wanted.engines
                                       : std::max<std::size_t>(1, wanted.engines - missing);
                auto const found = world.fewest.find(wanted.what.model);
                RC_ASSERT(found != world.fewest.end());
                RC_ASSERT(found->second >= least);
            }
            RC_ASSERT(world.converged());
        },
        false);
    EXPECT_GT(orders, 1'000U);
}

// Guards against slots that stay taken by agents that died, and against more loads at once than
// the group allows when agents come and go.
TEST(order_planner, rollout_finishes_although_agents_die)
{
    tests::check_seeded(
        0x52, 250,
        []
        {
            auto plan = any_rollout();
            plan.crashes = *rc::gen::container<std::vector<base::duration>>(
                *rc::gen::inRange<std::size_t>(1, 8),
                rc::gen::map(rc::gen::inRange(100, 60'000),
                             [](int n) { return base::duration(milliseconds(n)); }));
            orders_world world(plan);
            world.run(seconds(400));
            RC_ASSERT(world.most_loading <= plan.after.loading_at_once);
            RC_ASSERT(world.converged());
        },
        false);
}

// Guards against agents that fill the log with slot records when there is nothing to do.
TEST(order_planner, no_records_without_need)
{
    rollout plan;
    plan.engines = 5;
    plan.before.models = {{{"a", "", "1"}, 3}, {{"b", "", "1"}, 2}};
    plan.after = plan.before;
    orders_world world(plan);
    world.run(seconds(60));
    EXPECT_EQ(world.slot_records(), 0U);
    EXPECT_EQ(world.orders, 0U);
}

// Guards against a single engine that drops the version it serves before it can serve the next.
TEST(order_planner, last_engine_loads_before_it_unloads)
{
    order_planner planner("agent#1");
    load_slots slots("bench");
    group_orders wanted;
    wanted.models = {{{"a", "", "2"}, 1}};
    wanted.fence = 9;
    auto const now = epoch;
    std::vector<engine_report> engines = {{"agent#1", true, false, {{"a", "", "1"}}, now}};
    EXPECT_EQ(planner.next(now, wanted, engines, slots), (order_step{std::nullopt, action::take}));
    slots.apply(now, 1, {"bench", "agent", "1", action::take});
    EXPECT_EQ(planner.next(now, wanted, engines, slots),
              (order_step{engine_order{engine_order::order_kind::load, {"a", "", "2"}, 9},
                          std::nullopt}));
    engines[0].serving = {{"a", "", "1"}, {"a", "", "2"}};
    EXPECT_EQ(planner.next(now, wanted, engines, slots).order,
              (engine_order{engine_order::order_kind::unload, {"a", "", "1"}, 9}));
    engines[0].serving = {{"a", "", "2"}};
    EXPECT_EQ(planner.next(now, wanted, engines, slots),
              (order_step{std::nullopt, action::release}));
    // An engine that holds one model only can't be reloaded without a second engine.
    wanted.models_per_engine = 1;
    engines[0].serving = {{"a", "", "1"}};
    EXPECT_EQ(planner.next(now, wanted, engines, slots).order, std::nullopt);
}

// Guards against a report from before another engine's reload that is taken for its present state.
TEST(order_planner, report_older_than_a_slot_record_does_not_count)
{
    order_planner planner("agent#1");
    load_slots slots("bench");
    group_orders wanted;
    wanted.models = {{{"a", "", "2"}, 2}};
    wanted.models_per_engine = 1;
    slots.apply(epoch, 1, {"bench", "other", "1", action::take});
    slots.apply(epoch + seconds(1), 2, {"bench", "other", "1", action::release});
    auto const now = epoch + seconds(2);
    std::vector<engine_report> engines = {
        {"agent#1", true, false, {{"a", "", "1"}}, now},
        {"other#1", true, false, {{"a", "", "1"}}, epoch + milliseconds(900)}};
    EXPECT_EQ(planner.next(now, wanted, engines, slots), order_step{});
    engines[1].asked_at = now;
    EXPECT_EQ(planner.next(now, wanted, engines, slots).slot, action::take);
}

// Guards against orders on an old view, as after a pause.
TEST(order_planner, old_own_report_gives_no_order)
{
    order_planner planner("agent#1");
    load_slots const slots("bench");
    group_orders wanted;
    wanted.models = {{{"a", "", "2"}, 1}};
    std::vector<engine_report> const engines = {{"agent#1", true, false, {}, epoch}};
    EXPECT_EQ(planner.next(epoch + seconds(4), wanted, engines, slots), order_step{});
}

// Guards against a change of the list or of a version that moves models between engines without
// need.
TEST(order_planner, assignment_is_stable)
{
    tests::check_seeded(0x53, 300,
                        []
                        {
                            auto const plan = any_rollout();
                            std::vector<std::string> agents;
                            for (std::size_t n = 0; n < plan.engines; ++n)
                                agents.push_back("agent-" + std::to_string(n) + "#1");
                            auto const before = order_planner::assign(plan.before.models, agents);
                            auto const after = order_planner::assign(plan.after.models, agents);
                            for (std::size_t n = 0; n < agents.size(); ++n)
                            {
                                RC_ASSERT(before[n].has_value() == after[n].has_value());
                                RC_ASSERT((!before[n] || before[n]->model == after[n]->model));
                            }
                            // The order in the list does not matter, nor does a restart.
                            auto reversed = agents;
                            std::reverse(reversed.begin(), reversed.end());
                            reversed.back() = "agent-0#2";
                            auto same = order_planner::assign(plan.after.models, reversed);
                            std::reverse(same.begin(), same.end());
                            RC_ASSERT(same == after);
                            // With too few engines each model still gets one while there are as
                            // many engines.
                            auto const few = std::vector<std::string>(
                                agents.begin(), agents.begin() + static_cast<std::ptrdiff_t>(
                                                                     plan.after.models.size()));
                            std::set<std::string> models;
                            for (auto const& it : order_planner::assign(plan.after.models, few))
                                models.insert(it->model);
                            RC_ASSERT(models.size() == plan.after.models.size());
                        });
}

// Guards against more holders than the group allows, and against slots lost to dead agents.
TEST(load_slots, holders_in_append_order)
{
    load_slots slots("bench");
    auto const take = [&](std::uint64_t offset, char const* agent)
    {
        slots.apply(epoch, offset, {"bench", agent, "1", action::take});
    };
    take(1, "a");
    take(2, "b");
    take(3, "c");
    take(4, "a");
    slots.apply(epoch, 5, {"other", "d", "1", action::take});
    EXPECT_TRUE(slots.holds("a#1", 2));
    EXPECT_TRUE(slots.holds("b#1", 2));
    EXPECT_FALSE(slots.holds("c#1", 2));
    EXPECT_TRUE(slots.queued("c#1"));
    EXPECT_FALSE(slots.queued("d#1"));
    EXPECT_TRUE(slots.holds_before("a#1", "b#1", 2));
    EXPECT_FALSE(slots.holds_before("b#1", "a#1", 2));
    slots.apply(epoch, 6, {"bench", "b", "1", action::release});
    EXPECT_TRUE(slots.holds("c#1", 2));
    // Absence counts only once it exceeds the list's lag.
    slots.list_read(epoch, limits::agent_list({{"c#1"}}));
    slots.list_read(epoch + seconds(9), limits::agent_list({{"c#1"}}));
    EXPECT_TRUE(slots.holds("a#1", 2));
    slots.list_read(epoch + seconds(10), limits::agent_list({{"c#1"}}));
    EXPECT_FALSE(slots.queued("a#1"));
}

// Guards against readers that stop at records of other programs.
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
