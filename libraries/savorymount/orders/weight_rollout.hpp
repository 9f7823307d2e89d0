#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/membership/upstream_record.hpp>
#include <savorymount/orders/desired_weights.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace savorymount::orders
{

/// An order to one engine to change to a weight version.
struct weight_order
{
    std::string upstream;
    std::string address;
    std::string model;
    std::uint64_t version = 0;
    std::uint64_t fencing_token = 0;
    /// Number of orders that the engine must have accepted so far, so that an order that is
    /// carried out late changes nothing.
    std::uint64_t expected_accepted_orders = 0;

    bool operator==(weight_order const&) const = default;
};

/// How an engine answered an order.
enum class order_outcome
{
    /// The engine begins to load.
    accepted,
    /// The engine has that version already.
    already_done,
    /// Another order is in progress, or the number of accepted orders differs.
    conflict,
    /// The engine has seen a newer fencing token.
    fenced,
    /// Another engine has the address, or the order is not possible.
    impossible,
    /// No answer: the order may be carried out later.
    unanswered
};

/// What an engine says of the orders that it got.
struct order_report
{
    bool busy = false;
    std::uint64_t accepted_orders = 0;
    std::map<std::string, std::uint64_t> weights;

    bool operator==(order_report const&) const = default;
};

/// An engine as the rollout sees it.
struct rollout_engine
{
    membership::upstream_record record;
    /// Requests that run or wait there.
    double running_requests = 0;
    /// Whether it can't be reached at present.
    bool unreachable = false;

    bool operator==(rollout_engine const&) const = default;
};

/// What to do next for the rollout.
struct rollout_step
{
    /// Engines whose order count has to be asked for.
    std::vector<std::string> report_requests;
    std::vector<weight_order> orders;
    /// Engines that get no new requests, since they are ordered to load soon.
    std::vector<std::string> draining;

    bool operator==(rollout_step const&) const = default;
};

struct weight_rollout_options
{
    /// Engines that load at once without slowing each other down.
    std::size_t max_concurrent_loads = 3;
    /// Time of one load.
    base::duration load_duration = std::chrono::milliseconds(575);
    base::duration retry_delay = std::chrono::milliseconds(250);
    /// Engines that load or get no new requests at once, in batches.
    std::size_t drain_batches = 2;
    /// Longest time that an engine is left to finish its requests before it loads.
    base::duration drain_timeout = std::chrono::milliseconds(1500);

    /// Mean number of requests at an engine from which on none is emptied before its load.
    double busy_threshold = 5;
    /// An engine whose version is superseded for this long goes first and is not emptied.
    base::duration urgent_age = std::chrono::milliseconds(4000);

    auto operator<=>(weight_rollout_options const&) const = default;
};

/// Brings the engines to the newest weight versions, some at a time.
///
/// It goes straight to the newest version of a model, takes the engines with the fewest requests
/// first and spreads each batch over the data centres. While one batch loads, the next one gets no
/// new requests, so that few streams pause during a load or go on under other weights. It answers
/// loads in which versions follow each other within seconds while engines are added, restarted or
/// unreachable.
class weight_rollout
{
public:
    explicit weight_rollout(weight_rollout_options const& options) : options_(options) {}

    void set_max_concurrent_loads(std::size_t n) { options_.max_concurrent_loads = n; }

    /// The next step of the holder of `fence`.
    rollout_step next_step(base::time_point now, std::uint64_t fencing_token,
                           desired_weights const& desired,
                           std::vector<rollout_engine> const& engines);

    void on_report(base::time_point now, std::string const& upstream, order_report const& report);
    void on_report_failed(base::time_point now, std::string const& upstream);
    void on_order_response(base::time_point now, weight_order const& order, order_outcome outcome);

    /// Forgets all progress, after the duty passed to another instance.
    void reset() { engines_.clear(); }

    /// Whether no order is outstanding and no engine loads.
    bool idle() const;

    /// Until when the engine loads; empty when it does not.
    std::optional<base::time_point> loading_until(std::string const& upstream) const;

private:
    struct engine_state
    {
        std::int64_t started_unix_ms = 0;
        /// Number of orders the engine accepted, once known.
        std::optional<std::uint64_t> accepted_orders;
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
        /// Its present version is superseded for so long that it must not wait.
        bool urgent;
    };

    std::size_t max_unavailable_engines(std::vector<rollout_engine> const& engines) const;
    std::size_t count_loading(base::time_point now);
    /// Engines with a lower rank go first; `it` has the place within its data centre.
    std::tuple<bool, bool, std::size_t>
    priority_of(std::pair<std::size_t, outdated_engine> const& it) const;
    bool is_drained(base::time_point now, outdated_engine const& it) const;
    std::vector<outdated_engine> outdated_engines(base::time_point now,
                                                  desired_weights const& desired,
                                                  std::vector<rollout_engine> const& engines);

    weight_rollout_options options_;
    std::map<std::string, engine_state> engines_;
};

} // namespace savorymount::orders
