#include <savorymount/base/digest.hpp>
#include <savorymount/orders/order_planner.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace savorymount::orders
{

namespace
{

bool serves(engine_report const& engine, model_version const& what)
{
    return std::find(engine.serving.begin(), engine.serving.end(), what) != engine.serving.end();
}

bool same_model(model_version const& left, model_version const& right)
{
    return left.model == right.model && left.adapter == right.adapter;
}

bool serves_any_version(engine_report const& engine, model_version const& what)
{
    return std::any_of(engine.serving.begin(), engine.serving.end(),
                       [&](model_version const& it) { return same_model(it, what); });
}

/// Excludes the version, so that a new version goes to the engines of the old one, and the
/// incarnation, so that a restarted agent gets its former model.
std::uint64_t preference(model_version const& what, std::string const& agent)
{
    auto const name = agent.substr(0, agent.find('#'));
    return base::chain_digest(base::chain_digest(base::chain_digest(0, what.model), what.adapter),
                              name);
}

/// Positions in `agents`, most preferred first.
std::vector<std::size_t> by_preference(model_version const& what,
                                       std::vector<std::string> const& agents)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> ranks;
    ranks.reserve(agents.size());
    for (std::size_t n = 0; n < agents.size(); ++n)
        ranks.emplace_back(preference(what, agents[n]), n);
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

struct order_planner::view
{
    group_orders const& wanted;
    engine_report const* own = nullptr;
    std::optional<model_version> target;
    /// Reports of other engines that can be relied on.
    std::vector<engine_report const*> others;
    /// Engines assigned to each wanted model.
    std::vector<std::size_t> assigned;
};

order_planner::order_planner(std::string own_agent, base::duration report_lifetime)
    : own_agent_(std::move(own_agent)), report_lifetime_(report_lifetime)
{
}

order_step order_planner::next(base::time_point now, group_orders const& wanted,
                               std::vector<engine_report> const& engines, load_slots const& slots)
{
    order_step out;
    // An agent that acted on its slot after it sent the release would exceed the limit.
    auto const queued = slots.queued(own_agent_);
    if (pending_slot_ && queued != (*pending_slot_ == slot_record::action_kind::take))
        return out;
    pending_slot_.reset();
    view it{wanted, nullptr, std::nullopt, {}, std::vector<std::size_t>(wanted.models.size(), 0)};
    std::vector<std::string> agents;
    for (auto const& engine : engines)
    {
        if (!engine.leaving)
            agents.push_back(engine.agent);
    }
    auto const models = assign(wanted.models, agents);
    for (std::size_t n = 0; n < agents.size(); ++n)
    {
        if (agents[n] == own_agent_)
            it.target = models[n];
        for (std::size_t m = 0; models[n] && m < wanted.models.size(); ++m)
            it.assigned[m] += wanted.models[m].what == *models[n] ? 1U : 0U;
    }
    for (auto const& engine : engines)
    {
        auto const fresh = engine.ready && now - engine.asked_at < report_lifetime_;
        if (engine.agent == own_agent_)
        {
            it.own = fresh && !engine.leaving ? &engine : nullptr;
            continue;
        }
        // What an earlier slot holder serves now it may be about to unload, and a report from
        // before its newest slot record may not show what it has unloaded.
        auto const changed = slots.changed_at(engine.agent);
        auto const earlier = slots.holds_before(engine.agent, own_agent_, wanted.loading_at_once);
        if (fresh && !engine.leaving && !earlier && (!changed || engine.asked_at > *changed))
            it.others.push_back(&engine);
    }

    auto const order = it.own == nullptr ? std::nullopt : next_order(it);
    if (order && slots.holds(own_agent_, wanted.loading_at_once))
        out.order = order;
    else if (order && !queued)
        out.slot = slot_record::action_kind::take;
    else if (!order && queued)
        out.slot = slot_record::action_kind::release;
    pending_slot_ = out.slot;
    return out;
}

std::vector<std::optional<model_version>>
order_planner::assign(std::vector<wanted_model> const& models,
                      std::vector<std::string> const& agents)
{
    std::vector<std::optional<model_version>> out(agents.size());
    std::vector<std::vector<std::size_t>> ranked(models.size());
    for (std::size_t model = 0; model < models.size(); ++model)
        ranked[model] = by_preference(models[model].what, agents);
    std::vector<std::size_t> tried(models.size(), 0);
    std::vector<std::size_t> given(models.size(), 0);
    auto const give = [&](std::size_t model)
    {
        auto& at = tried[model];
        while (at < agents.size() && out[ranked[model][at]])
            ++at;
        if (at == agents.size())
            return false;
        out[ranked[model][at]] = models[model].what;
        ++given[model];
        return true;
    };
    // Every model gets one engine before any gets a second.
    for (std::size_t model = 0; model < models.size(); ++model)
    {
        if (models[model].engines > 0 && !give(model))
            return out;
    }
    for (std::size_t model = 0; model < models.size(); ++model)
    {
        while (given[model] < models[model].engines)
        {
            if (!give(model))
                return out;
        }
    }
    return out;
}

std::optional<engine_order> order_planner::next_order(view const& it) const
{
    using kind = engine_order::order_kind;
    auto const missing = it.target && !serves(*it.own, *it.target);
    auto const room = it.own->serving.size() < it.wanted.models_per_engine;
    if (missing && room)
        return engine_order{kind::load, *it.target, it.wanted.fence};
    for (auto const& what : it.own->serving)
    {
        if (what != it.target && may_unload(it, what))
            return engine_order{kind::unload, what, it.wanted.fence};
    }
    return std::nullopt;
}

bool order_planner::may_unload(view const& it, model_version const& what) const
{
    auto const& models = it.wanted.models;
    auto found = std::find_if(models.begin(), models.end(),
                              [&](wanted_model const& wanted) { return wanted.what == what; });
    if (found == models.end())
        found =
            std::find_if(models.begin(), models.end(),
                         [&](wanted_model const& wanted) { return same_model(wanted.what, what); });
    if (found == models.end())
        return true;
    auto const assigned = it.assigned[static_cast<std::size_t>(found - models.begin())];
    // Engines that hold a slot may all be reloading, so that many may be missing.
    auto const enough =
        std::max<std::size_t>(1, assigned - std::min(assigned, it.wanted.loading_at_once));
    auto const count = [&](auto const& condition)
    {
        return static_cast<std::size_t>(
            std::count_if(it.others.begin(), it.others.end(), condition));
    };
    auto const others_new =
        count([&](engine_report const* engine) { return serves(*engine, found->what); });
    if (what == found->what)
        return others_new >= std::max(enough, assigned);
    if (!serves(*it.own, found->what))
    {
        auto const others_any =
            count([&](engine_report const* engine) { return serves_any_version(*engine, what); });
        return others_any >= enough;
    }
    auto const others_old =
        count([&](engine_report const* engine) { return serves(*engine, what); });
    return others_old > 0 || others_new + 1 >= enough;
}

} // namespace savorymount::orders
