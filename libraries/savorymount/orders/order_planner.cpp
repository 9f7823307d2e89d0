#include <savorymount/base/digest.hpp>
#include <savorymount/orders/order_planner.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace savorymount::orders
{

namespace
{

bool serves(engine_report const& engine, model_variant const& variant)
{
    return std::find(engine.serving.begin(), engine.serving.end(), variant) != engine.serving.end();
}

bool same_model(model_variant const& left, model_variant const& right)
{
    return left.model == right.model && left.adapter == right.adapter;
}

bool serves_any_version(engine_report const& engine, model_variant const& variant)
{
    return std::any_of(engine.serving.begin(), engine.serving.end(),
                       [&](model_variant const& it) { return same_model(it, variant); });
}

/// Leaves out the version, so that a new version is assigned to the engines of the old one, and the
/// incarnation, so that a restarted agent gets its previous model.
std::uint64_t rendezvous_weight(model_variant const& variant, std::string const& agent)
{
    auto const name = agent.substr(0, agent.find('#'));
    return base::chain_digest(
        base::chain_digest(base::chain_digest(0, variant.model), variant.adapter), name);
}

/// Indices into `agents`, by descending rendezvous weight.
std::vector<std::size_t> by_rendezvous_weight(model_variant const& variant,
                                              std::vector<std::string> const& agents)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> ranks;
    ranks.reserve(agents.size());
    for (std::size_t n = 0; n < agents.size(); ++n)
        ranks.emplace_back(rendezvous_weight(variant, agents[n]), n);
    std::sort(ranks.begin(), ranks.end(),
              [&](auto const& left, auto const& right)
              {
                  return std::tie(right.first, agents[right.second]) <
                         std::tie(left.first, agents[left.second]);
              });
    std::vector<std::size_t> out;
    out.reserve(agents.size());
    for (auto const& [rank, position] : ranks)
        out.push_back(position);
    return out;
}

} // namespace

struct order_planner::group_state
{
    group_config const& config;
    engine_report const* own_report = nullptr;
    std::optional<model_variant> own_target;
    /// Reports of other engines that are recent enough to rely on.
    std::vector<engine_report const*> other_reports;
    /// Number of engines assigned to each desired model.
    std::vector<std::size_t> assigned_counts;
};

order_planner::order_planner(std::string own_agent, base::duration report_lifetime)
    : own_agent_(std::move(own_agent)), report_lifetime_(report_lifetime)
{
}

planner_step order_planner::next_step(base::time_point now, group_config const& config,
                                      std::vector<engine_report> const& engines,
                                      model_load_slots const& slots)
{
    planner_step out;
    // An agent that used its slot after sending the release would exceed the limit.
    auto const queued = slots.in_queue(own_agent_);
    if (pending_slot_action_ && queued != (*pending_slot_action_ == slot_record::action_kind::take))
        return out;
    pending_slot_action_.reset();
    group_state state{
        config, nullptr, std::nullopt, {}, std::vector<std::size_t>(config.models.size(), 0)};
    std::vector<std::string> agents;
    for (auto const& engine : engines)
    {
        if (!engine.leaving)
            agents.push_back(engine.agent);
    }
    auto const models = assign(config.models, agents);
    for (std::size_t n = 0; n < agents.size(); ++n)
    {
        if (agents[n] == own_agent_)
            state.own_target = models[n];
        for (std::size_t m = 0; models[n] && m < config.models.size(); ++m)
            state.assigned_counts[m] += config.models[m].variant == *models[n] ? 1U : 0U;
    }
    for (auto const& engine : engines)
    {
        auto const is_fresh = engine.ready && now - engine.report_requested_at < report_lifetime_;
        if (engine.agent == own_agent_)
        {
            state.own_report = is_fresh && !engine.leaving ? &engine : nullptr;
            continue;
        }
        // An agent that took its slot earlier may be about to unload what it serves now, and a
        // report requested before its newest slot record may not show what it has unloaded.
        auto const slot_changed_at = slots.last_changed_at(engine.agent);
        auto const holds_earlier_slot =
            slots.holds_earlier_slot(engine.agent, own_agent_, config.max_concurrent_loads);
        if (is_fresh && !engine.leaving && !holds_earlier_slot &&
            (!slot_changed_at || engine.report_requested_at > *slot_changed_at))
            state.other_reports.push_back(&engine);
    }

    auto const order = state.own_report == nullptr ? std::nullopt : next_order(state);
    if (order && slots.holds_slot(own_agent_, config.max_concurrent_loads))
        out.order = order;
    else if (order && !queued)
        out.slot_action = slot_record::action_kind::take;
    else if (!order && queued)
        out.slot_action = slot_record::action_kind::release;
    pending_slot_action_ = out.slot_action;
    return out;
}

std::vector<std::optional<model_variant>>
order_planner::assign(std::vector<desired_model> const& models,
                      std::vector<std::string> const& agents)
{
    std::vector<std::optional<model_variant>> out(agents.size());
    std::vector<std::vector<std::size_t>> ranked(models.size());
    for (std::size_t model = 0; model < models.size(); ++model)
        ranked[model] = by_rendezvous_weight(models[model].variant, agents);
    std::vector<std::size_t> next_rank(models.size(), 0);
    std::vector<std::size_t> assigned_counts(models.size(), 0);
    auto const assign_next = [&](std::size_t model)
    {
        auto& rank = next_rank[model];
        while (rank < agents.size() && out[ranked[model][rank]])
            ++rank;
        if (rank == agents.size())
            return false;
        out[ranked[model][rank]] = models[model].variant;
        ++assigned_counts[model];
        return true;
    };
    // Every model gets one engine before any model gets a second one.
    for (std::size_t model = 0; model < models.size(); ++model)
    {
        if (models[model].engine_count > 0 && !assign_next(model))
            return out;
    }
    for (std::size_t model = 0; model < models.size(); ++model)
    {
        while (assigned_counts[model] < models[model].engine_count)
        {
            if (!assign_next(model))
                return out;
        }
    }
    return out;
}

std::optional<engine_order> order_planner::next_order(group_state const& state) const
{
    using kind = engine_order::order_kind;
    auto const missing = state.own_target && !serves(*state.own_report, *state.own_target);
    auto const has_room = state.own_report->serving.size() < state.config.models_per_engine;
    if (missing && has_room)
        return engine_order{kind::load, *state.own_target, state.config.fencing_token};
    for (auto const& variant : state.own_report->serving)
    {
        if (variant != state.own_target && may_unload(state, variant))
            return engine_order{kind::unload, variant, state.config.fencing_token};
    }
    return std::nullopt;
}

bool order_planner::may_unload(group_state const& state, model_variant const& variant) const
{
    auto const& models = state.config.models;
    auto found =
        std::find_if(models.begin(), models.end(),
                     [&](desired_model const& desired) { return desired.variant == variant; });
    if (found == models.end())
        found = std::find_if(models.begin(), models.end(),
                             [&](desired_model const& desired)
                             { return same_model(desired.variant, variant); });
    if (found == models.end())
        return true;
    auto const assigned_count =
        state.assigned_counts[static_cast<std::size_t>(found - models.begin())];
    // All engines whose agents hold a slot may be reloading, so that many may be unavailable.
    auto const required = std::max<std::size_t>(
        1, assigned_count - std::min(assigned_count, state.config.max_concurrent_loads));
    auto const count = [&](auto const& condition)
    {
        return static_cast<std::size_t>(
            std::count_if(state.other_reports.begin(), state.other_reports.end(), condition));
    };
    auto const others_with_desired =
        count([&](engine_report const* engine) { return serves(*engine, found->variant); });
    if (variant == found->variant)
        return others_with_desired >= std::max(required, assigned_count);
    if (!serves(*state.own_report, found->variant))
    {
        auto const others_with_any_version = count(
            [&](engine_report const* engine) { return serves_any_version(*engine, variant); });
        return others_with_any_version >= required;
    }
    auto const others_with_same =
        count([&](engine_report const* engine) { return serves(*engine, variant); });
    return others_with_same > 0 || others_with_desired + 1 >= required;
}

} // namespace savorymount::orders
