#include <savorymount/orders/weight_rollout.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::orders
{

rollout_step weight_rollout::next_step(base::time_point now, std::uint64_t fencing_token,
                                       desired_weights const& desired,
                                       std::vector<rollout_engine> const& engines)
{
    rollout_step out;
    auto loading = count_loading(now);
    auto const max_unavailable = max_unavailable_engines(engines);
    bool const drain_first = max_unavailable > options_.max_concurrent_loads;
    std::size_t draining = 0;
    for (auto const& it : outdated_engines(now, desired, engines))
    {
        auto const& id = it.engine->record.id;
        auto& state = engines_[id];
        if (!state.accepted_orders)
        {
            if (!std::exchange(state.report_requested, true))
                out.report_requests.push_back(id);
            continue;
        }
        // It is not drained either: nobody knows when the order may follow.
        if (may_order_ && !may_order_(it.model, it.version))
            continue;
        if (!state.drain_started_at && loading + draining >= max_unavailable)
            continue;
        if (!state.drain_started_at)
            state.drain_started_at = now;
        ++draining;
        out.draining.push_back(id);
        bool const ready = !drain_first || is_drained(now, it);
        if (loading >= options_.max_concurrent_loads || !ready)
            continue;
        ++loading;
        --draining;
        state.order_sent = true;
        out.orders.push_back({id, it.engine->record.address, it.model, it.version, fencing_token,
                              *state.accepted_orders});
    }
    return out;
}

std::size_t
weight_rollout::max_unavailable_engines(std::vector<rollout_engine> const& engines) const
{
    std::size_t reachable = 0;
    double active_requests = 0;
    for (auto const& it : engines)
    {
        reachable += it.unreachable ? 0 : 1;
        active_requests += it.unreachable ? 0 : it.active_requests;
    }
    // Draining moves requests to the other engines. If these are busy, it costs more than it saves.
    bool const busy = active_requests > options_.busy_threshold * static_cast<double>(reachable);
    if (busy)
        return options_.max_concurrent_loads;
    auto const third_of_reachable = std::max<std::size_t>(reachable / 3, 1);
    return std::max(
        std::min(options_.drain_batches * options_.max_concurrent_loads, third_of_reachable),
        options_.max_concurrent_loads);
}

std::size_t weight_rollout::count_loading(base::time_point now)
{
    std::size_t out = 0;
    for (auto& [id, state] : engines_)
    {
        if (state.loading_until && now >= *state.loading_until)
            state.loading_until.reset();
        out += state.loading_until || state.order_sent ? 1 : 0;
    }
    return out;
}

bool weight_rollout::is_drained(base::time_point now, outdated_engine const& it) const
{
    constexpr double below_one_request = 0.5;
    auto const& state = engines_.at(it.engine->record.id);
    return it.urgent || it.engine->active_requests < below_one_request ||
           now - *state.drain_started_at >= options_.drain_timeout;
}

std::tuple<bool, bool, std::size_t>
weight_rollout::sort_key(std::pair<std::size_t, outdated_engine> const& it) const
{
    auto const state = engines_.find(it.second.engine->record.id);
    bool const draining = state != engines_.end() && state->second.drain_started_at;
    return {!it.second.urgent, !draining, it.first};
}

std::vector<weight_rollout::outdated_engine>
weight_rollout::outdated_engines(base::time_point now, desired_weights const& desired,
                                 std::vector<rollout_engine> const& engines)
{
    std::vector<outdated_engine> out;
    for (auto const& engine : engines)
    {
        auto& state = engines_[engine.record.id];
        // An engine that restarted under the same id has lost its count of accepted orders.
        if (state.started_unix_ms != engine.record.started_unix_ms)
        {
            state = {};
            state.started_unix_ms = engine.record.started_unix_ms;
        }
        bool const must_wait = state.order_sent || state.report_requested || state.loading_until ||
                               now < state.retry_at;
        if (must_wait || engine.record.draining || engine.unreachable)
            continue;
        for (auto const& [model, version] : engine.record.weights)
        {
            auto const newest = desired.newest_version(model);
            auto const reported = state.reported_weights.find(model);
            bool const reported_newer =
                reported != state.reported_weights.end() && reported->second > newest;
            if (version >= newest || reported_newer)
                continue;
            auto const since = desired.superseded_since(model, version);
            out.push_back({&engine, model, newest, since && now - *since > options_.urgent_age});
        }
    }
    // Alternates between the data centres, so that none loses all its engines at once.
    std::stable_sort(out.begin(), out.end(),
                     [](outdated_engine const& left, outdated_engine const& right)
                     { return left.engine->active_requests < right.engine->active_requests; });
    std::map<std::string, std::size_t> picked_per_data_centre;
    std::vector<std::pair<std::size_t, outdated_engine>> ranked;
    ranked.reserve(out.size());
    for (auto const& it : out)
        ranked.emplace_back(picked_per_data_centre[it.engine->record.data_centre]++, it);
    // Urgent engines go first, then those that are being drained.
    std::stable_sort(ranked.begin(), ranked.end(),
                     [this](auto const& left, auto const& right)
                     { return sort_key(left) < sort_key(right); });
    out.clear();
    for (auto& it : ranked)
        out.push_back(std::move(it.second));
    return out;
}

void weight_rollout::on_report(base::time_point now, std::string const& upstream,
                               order_report const& report)
{
    auto& state = engines_[upstream];
    state.report_requested = false;
    if (report.busy)
    {
        state.retry_at = now + options_.retry_delay;
        return;
    }
    state.accepted_orders = report.accepted_orders;
    state.reported_weights = report.weights;
}

void weight_rollout::on_report_failed(base::time_point now, std::string const& upstream,
                                      bool is_invalid)
{
    auto& state = engines_[upstream];
    state.report_requested = false;
    state.retry_at = now + (is_invalid ? options_.invalid_answer_delay : options_.retry_delay);
}

void weight_rollout::on_order_response(base::time_point now, weight_order const& order,
                                       order_outcome outcome)
{
    auto& state = engines_[order.upstream];
    state.order_sent = false;
    switch (outcome)
    {
    case order_outcome::accepted:
        state.accepted_orders = order.expected_accepted_orders + 1;
        state.loading_until = now + options_.load_duration;
        state.drain_started_at.reset();
        return;
    case order_outcome::already_done:
        state.drain_started_at.reset();
        return;
    case order_outcome::conflict:
    case order_outcome::unanswered:
        // The number of accepted orders has to be requested again before the next order.
        state.accepted_orders.reset();
        state.retry_at = now + options_.retry_delay;
        return;
    case order_outcome::invalid_answer:
        state.accepted_orders.reset();
        state.retry_at = now + options_.invalid_answer_delay;
        return;
    case order_outcome::fenced:
    case order_outcome::impossible:
        state.accepted_orders.reset();
        state.retry_at = now + 4 * options_.retry_delay;
        return;
    }
}

bool weight_rollout::idle() const
{
    return std::none_of(engines_.begin(), engines_.end(),
                        [](auto const& it)
                        { return it.second.order_sent || it.second.loading_until; });
}

std::optional<base::time_point> weight_rollout::loading_until(std::string const& upstream) const
{
    auto const it = engines_.find(upstream);
    return it == engines_.end() ? std::nullopt : it->second.loading_until;
}

} // namespace savorymount::orders
