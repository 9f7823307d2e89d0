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

/// Names what an engine can serve.
struct model_variant
{
    std::string model;
    std::string adapter;
    std::string version;

    auto operator<=>(model_variant const&) const = default;
};

/// A line of a group's contract: how many engines should serve what.
struct desired_model
{
    model_variant variant;
    std::size_t engine_count = 1;

    bool operator==(desired_model const&) const = default;
};

/// What the configuration says about a group.
struct group_config
{
    std::vector<desired_model> models;
    std::size_t max_concurrent_loads = 1;
    /// How many models an engine holds at once. With 1 an engine must unload before it loads.
    std::size_t models_per_engine = 2;
    /// Log offset of the configuration version; the fencing token of orders.
    std::uint64_t fencing_token = 0;

    bool operator==(group_config const&) const = default;
};

/// The newest report about one engine of the group.
struct engine_report
{
    /// The list id of its agent, `agent#incarnation`.
    std::string agent;
    bool ready = false;
    bool leaving = false;
    std::vector<model_variant> serving;
    /// When the report was asked for, by the reader's clock.
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

/// What an agent does next about its engine's models.
struct planner_step
{
    std::optional<engine_order> order;
    /// Append a slot record to the log.
    std::optional<slot_record::action_kind> slot_action;

    bool operator==(planner_step const&) const = default;
};

/// Turns a group's wanted models into orders for one agent's own engine.
///
/// All agents with the same list assign the same models to the same engines. Each order needs a
/// slot. A copy is unloaded only if enough engines serve its model without it.
class order_planner
{
public:
    /// Reports older than `report_lifetime` count as an engine that serves nothing.
    explicit order_planner(std::string own_agent,
                           base::duration report_lifetime = std::chrono::seconds(3));

    /// The next step. `engines` holds the newest report of each live engine of the group, the own
    /// one included. The caller asks again once an order has ended and a newer own report is
    /// there. After a slot step there are no steps until `slots` shows the record: the caller
    /// repeats the append with the same id while its fate is unknown.
    planner_step next_step(base::time_point now, group_config const& config,
                           std::vector<engine_report> const& engines,
                           model_load_slots const& slots);

    /// The append of the last slot step has certainly not taken effect.
    void slot_append_failed() { pending_slot_action_.reset(); }

    /// The model of each engine of `agents` (list ids), in the same order; empty for a spare one.
    static std::vector<std::optional<model_variant>>
    assign(std::vector<desired_model> const& models, std::vector<std::string> const& agents);

private:
    struct group_state;

    std::optional<engine_order> next_order(group_state const& it) const;
    bool may_unload(group_state const& it, model_variant const& variant) const;

    std::string own_agent_;
    base::duration report_lifetime_;
    /// The slot record that has been handed out and that the log has not shown yet.
    std::optional<slot_record::action_kind> pending_slot_action_;
};

} // namespace savorymount::orders
