#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/orders/model_load_slots.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace savorymount::orders
{

/// A model that an engine can serve: base model, adapter and version.
struct model_variant
{
    std::string model;
    std::string adapter;
    std::string version;

    auto operator<=>(model_variant const&) const = default;
};

/// How many engines of a group should serve a model.
struct desired_model
{
    model_variant variant;
    std::size_t engine_count = 1;

    bool operator==(desired_model const&) const = default;
};

/// The configuration of a group's models.
struct group_config
{
    std::vector<desired_model> models;
    std::size_t max_concurrent_loads = 1;
    /// How many models an engine holds at once. With 1 an engine must unload before it loads.
    std::size_t models_per_engine = 2;
    /// Log offset of the configuration version; orders carry it as fencing token.
    std::uint64_t fencing_token = 0;

    bool operator==(group_config const&) const = default;
};

/// The newest report about one engine of the group.
struct engine_report
{
    /// The list entry id of its agent: `agent#incarnation`.
    std::string agent;
    bool ready = false;
    bool leaving = false;
    std::vector<model_variant> serving;
    /// When the report was requested, by the requester's clock.
    base::time_point report_requested_at{};
};

/// An order to the agent's own engine.
struct engine_order
{
    enum class order_kind
    {
        load,
        unload
    };

    order_kind kind = order_kind::load;
    model_variant variant;
    std::uint64_t fencing_token = 0;

    bool operator==(engine_order const&) const = default;
};

/// What an agent does next: send an order, append a slot record, or nothing.
struct planner_step
{
    std::optional<engine_order> order;
    /// The slot record to append to the log.
    std::optional<slot_record::action_kind> slot_action;

    bool operator==(planner_step const&) const = default;
};

/// Plans the orders of one agent to its engine so that the group reaches its desired models.
///
/// Agents with the same list of agents assign the same models to the same engines. Every order
/// requires a slot. A model is unloaded only while enough other engines serve it.
class order_planner
{
public:
    /// An engine whose report is older than `report_lifetime` counts as serving nothing.
    explicit order_planner(std::string own_agent,
                           base::duration report_lifetime = std::chrono::seconds(3));

    /// The next step. `engines` holds the newest report of each live engine of the group, including
    /// the agent's own. The caller calls this again when an order has completed and a newer report
    /// of its own engine has arrived. After a slot action, no further step is returned until
    /// `slots` has applied the record: the caller repeats the append with the same id while its
    /// outcome is unknown.
    planner_step next_step(base::time_point now, group_config const& config,
                           std::vector<engine_report> const& engines,
                           model_load_slots const& slots);

    /// The append of the last slot action certainly had no effect.
    void slot_append_failed() { pending_slot_action_.reset(); }

    /// The model for the engine of each agent in `agents` (list entry ids), in the same order;
    /// empty if the engine is not needed.
    static std::vector<std::optional<model_variant>>
    assign(std::vector<desired_model> const& models, std::vector<std::string> const& agents);

private:
    struct group_state;

    std::optional<engine_order> next_order(group_state const& state) const;
    bool may_unload(group_state const& state, model_variant const& variant) const;

    std::string own_agent_;
    base::duration report_lifetime_;
    /// The returned slot action whose record has not been read from the log yet.
    std::optional<slot_record::action_kind> pending_slot_action_;
};

} // namespace savorymount::orders
