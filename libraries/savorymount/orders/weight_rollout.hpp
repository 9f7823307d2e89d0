#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/membership/upstream_record.hpp>
#include <savorymount/orders/desired_weights.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace savorymount::orders
{

/// An order to one engine to load a weight version.
struct weight_order
{
    std::string upstream;
    std::string address;
    std::string model;
    std::uint64_t version = 0;
    std::uint64_t fencing_token = 0;
    /// Precondition: the number of orders that the engine has accepted so far. It makes a delayed
    /// order have no effect.
    std::uint64_t expected_accepted_orders = 0;

    bool operator==(weight_order const&) const = default;
};

/// How an engine responded to an order.
enum class order_outcome
{
    /// The engine has started to load the version.
    accepted,
    /// The engine already serves that version.
    already_done,
    /// Another order is in progress, or the number of accepted orders differs.
    conflict,
    /// The engine has seen a newer fencing token.
    fenced,
    /// Another engine uses the address, or the order is invalid.
    impossible,
    /// What the engine sent is no answer: the order may have been accepted.
    invalid_answer,
    /// No response: the order may still be executed later.
    unanswered
};

/// An engine's report on the orders that it received.
struct order_report
{
    bool busy = false;
    std::uint64_t accepted_orders = 0;
    std::map<std::string, std::uint64_t> weights;

    bool operator==(order_report const&) const = default;
};

/// The state of one engine, as input to the rollout.
struct rollout_engine
{
    membership::upstream_record record;
    /// Number of requests that run or wait at the engine.
    double active_requests = 0;
    /// Whether the engine can't be reached at present.
    bool unreachable = false;

    bool operator==(rollout_engine const&) const = default;
};

/// The next actions of the rollout.
struct rollout_step
{
    /// Engines whose number of accepted orders has to be requested.
    std::vector<std::string> report_requests;
    std::vector<weight_order> orders;
    /// Engines that get no new requests because they will be ordered to load soon.
    std::vector<std::string> draining;

    bool operator==(rollout_step const&) const = default;
};

struct weight_rollout_options
{
    /// Number of engines that can load at the same time without slowing each other down.
    std::size_t max_concurrent_loads = 3;
    /// Duration of one load.
    base::duration load_duration = std::chrono::milliseconds(575);
    base::duration retry_delay = std::chrono::milliseconds(250);
    /// The same after an engine sent what is no answer.
    base::duration invalid_answer_delay = std::chrono::milliseconds(2000);
    /// Number of batches of `max_concurrent_loads` engines that load or drain at the same time.
    std::size_t drain_batches = 2;
    /// Longest time that an engine gets to finish its requests before it loads.
    base::duration drain_timeout = std::chrono::milliseconds(1500);

    /// Mean number of requests per engine above which engines load without being drained first.
    double busy_threshold = 5;
    /// An engine whose version has been superseded for longer goes first and is not drained.
    base::duration urgent_age = std::chrono::milliseconds(4000);

    auto operator<=>(weight_rollout_options const&) const = default;
};

/// Updates the engines to the newest weight versions in batches.
/// It skips to the newest version of a model, starts with the engines that have the fewest requests
/// and spreads each batch over the data centres. While one batch loads, the next one is drained, so
/// that few streams pause during a load or continue under other weights. It handles versions that
/// follow each other within seconds while engines are added, restarted or unreachable.
class weight_rollout
{
public:
    explicit weight_rollout(weight_rollout_options const& options) : options_(options) {}

    void set_max_concurrent_loads(std::size_t n) { options_.max_concurrent_loads = n; }

    /// Holds an order back while the hook returns false for its model and version.
    void set_order_condition(std::function<bool(std::string const&, std::uint64_t)> may_order)
    {
        may_order_ = std::move(may_order);
    }

    /// The next actions of the leader that holds `fencing_token`.
    rollout_step next_step(base::time_point now, std::uint64_t fencing_token,
                           desired_weights const& desired,
                           std::vector<rollout_engine> const& engines);

    void on_report(base::time_point now, std::string const& upstream, order_report const& report);
    /// `is_invalid` tells that the engine sent what is no report; it is not asked again at once.
    void on_report_failed(base::time_point now, std::string const& upstream, bool is_invalid);
    void on_order_response(base::time_point now, weight_order const& order, order_outcome outcome);

    /// Discards the state of all engines, after another instance became the leader.
    void reset() { engines_.clear(); }

    /// Whether no order is in flight and no engine loads.
    bool idle() const;

    /// When the engine will have finished loading; empty if it does not load.
    std::optional<base::time_point> loading_until(std::string const& upstream) const;

private:
    struct engine_state
    {
        std::int64_t started_unix_ms = 0;
        /// Number of orders that the engine has accepted, once known.
        std::optional<std::uint64_t> accepted_orders;
        /// The versions that it reported with that number. The list and the table lag behind.
        std::map<std::string, std::uint64_t> reported_weights;
        bool report_requested = false;
        bool order_sent = false;
        base::time_point retry_at{};
        std::optional<base::time_point> loading_until;
        std::optional<base::time_point> drain_started_at;
    };

    struct outdated_engine
    {
        rollout_engine const* engine;
        std::string model;
        std::uint64_t version;
        /// Its version has been superseded for so long that the load must not wait.
        bool urgent;
    };

    std::size_t max_unavailable_engines(std::vector<rollout_engine> const& engines) const;
    std::size_t count_loading(base::time_point now);
    /// The sort key of an engine, lower first. `it.first` is its position within its data centre.
    std::tuple<bool, bool, std::size_t>
    sort_key(std::pair<std::size_t, outdated_engine> const& it) const;
    bool is_drained(base::time_point now, outdated_engine const& it) const;
    std::vector<outdated_engine> outdated_engines(base::time_point now,
                                                  desired_weights const& desired,
                                                  std::vector<rollout_engine> const& engines);

    weight_rollout_options options_;
    std::function<bool(std::string const&, std::uint64_t)> may_order_;
    std::map<std::string, engine_state> engines_;
};

} // namespace savorymount::orders
