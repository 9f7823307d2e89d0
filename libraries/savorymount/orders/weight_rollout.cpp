#include <savorymount/orders/weight_rollout.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::orders
{

rollout_step weight_rollout::next(base::time_point now, std::uint64_t fence,
                                  wanted_weights const& wanted,
                                  std::vector<rollout_engine> const& engines)
{
    rollout_step out;
    auto loading = count_loading(now);
    auto const most_out = most_engines_out(engines);
    bool const wait_until_empty = most_out > options_.loading_at_once;
    std::size_t emptying = 0;
    for (auto const& it : outdated(now, wanted, engines))
    {
        auto const& id = it.engine->record.id;
        auto& progress = engines_[id];
        if (!progress.accepted)
        {
            if (!std::exchange(progress.report_pending, true))
                out.reports.push_back(id);
            continue;
        }
        if (!progress.emptying_since && loading + emptying >= most_out)
            continue;
        if (!progress.emptying_since)
            progress.emptying_since = now;
        ++emptying;
        out.emptying.push_back(id);
        bool const ready = !wait_until_empty || is_empty(now, it);
        if (loading >= options_.loading_at_once || !ready)
            continue;
        ++loading;
        --emptying;
        progress.order_pending = true;
        out.orders.push_back(
            {id, it.engine->record.address, it.model, it.version, fence, *progress.accepted});
    }
    return out;
}

std::size_t weight_rollout::most_engines_out(std::vector<rollout_engine> const& engines) const
{
    std::size_t reachable = 0;
    double running = 0;
    for (auto const& it : engines)
    {
        reachable += it.unreachable ? 0 : 1;
        running += it.unreachable ? 0 : it.running;
    }
    // The other engines take over the requests; when they are busy it costs more than it saves.
    bool const busy = running > options_.running_when_busy * static_cast<double>(reachable);
    if (busy)
        return options_.loading_at_once;
    auto const third = std::max<std::size_t>(reachable / 3, 1);
    return std::max(std::min(options_.emptying_batches * options_.loading_at_once, third),
                    options_.loading_at_once);
}

std::size_t weight_rollout::count_loading(base::time_point now)
{
    std::size_t out = 0;
    for (auto& [id, progress] : engines_)
    {
        if (progress.loading_until && now >= *progress.loading_until)
            progress.loading_until.reset();
        out += progress.loading_until || progress.order_pending ? 1 : 0;
    }
    return out;
}

bool weight_rollout::is_empty(base::time_point now, target const& it) const
{
    constexpr double nothing_runs = 0.5;
    auto const& progress = engines_.at(it.engine->record.id);
    return it.urgent || it.engine->running < nothing_runs ||
           now - *progress.emptying_since >= options_.emptying_limit;
}

std::tuple<bool, bool, std::size_t>
weight_rollout::rank_of(std::pair<std::size_t, target> const& it) const
{
    auto const progress = engines_.find(it.second.engine->record.id);
    bool const emptying = progress != engines_.end() && progress->second.emptying_since;
    return {!it.second.urgent, !emptying, it.first};
}

std::vector<weight_rollout::target>
weight_rollout::outdated(base::time_point now, wanted_weights const& wanted,
                         std::vector<rollout_engine> const& engines)
{
    std::vector<target> out;
    for (auto const& engine : engines)
    {
        auto& progress = engines_[engine.record.id];
        // An engine that started again under its id has forgotten its orders.
        if (progress.started_unix_ms != engine.record.started_unix_ms)
        {
            progress = {};
            progress.started_unix_ms = engine.record.started_unix_ms;
        }
        bool const occupied = progress.order_pending || progress.report_pending ||
                              progress.loading_until || now < progress.retry_at;
        if (occupied || engine.record.draining || engine.unreachable)
            continue;
        for (auto const& [model, version] : engine.record.weights)
        {
            auto const newest = wanted.newest(model);
            if (version >= newest)
                continue;
            auto const since = wanted.superseded_since(model, version);
            out.push_back({&engine, model, newest, since && now - *since > options_.urgent_after});
        }
    }
    // One engine of each data centre in turn, so that none loses all its engines at once.
    std::stable_sort(out.begin(), out.end(),
                     [](target const& left, target const& right)
                     { return left.engine->running < right.engine->running; });
    std::map<std::string, std::size_t> taken;
    std::vector<std::pair<std::size_t, target>> ranked;
    ranked.reserve(out.size());
    for (auto const& it : out)
        ranked.emplace_back(taken[it.engine->record.data_centre]++, it);
    // Engines that must not wait go first, then those that are being emptied.
    std::stable_sort(ranked.begin(), ranked.end(),
                     [this](auto const& left, auto const& right)
                     { return rank_of(left) < rank_of(right); });
    out.clear();
    for (auto& it : ranked)
        out.push_back(std::move(it.second));
    return out;
}

void weight_rollout::reported(base::time_point now, std::string const& upstream,
                              order_report const& report)
{
    auto& progress = engines_[upstream];
    progress.report_pending = false;
    if (report.busy)
    {
        progress.retry_at = now + options_.retry_after;
        return;
    }
    progress.accepted = report.accepted;
}

void weight_rollout::report_failed(base::time_point now, std::string const& upstream)
{
    auto& progress = engines_[upstream];
    progress.report_pending = false;
    progress.retry_at = now + options_.retry_after;
}

void weight_rollout::answered(base::time_point now, weight_order const& order,
                              order_outcome outcome)
{
    auto& progress = engines_[order.upstream];
    progress.order_pending = false;
    switch (outcome)
    {
    case order_outcome::accepted:
        progress.accepted = order.accepted_before + 1;
        progress.loading_until = now + options_.load_time;
        progress.emptying_since.reset();
        return;
    case order_outcome::already_done:
        progress.emptying_since.reset();
        return;
    case order_outcome::conflict:
    case order_outcome::unanswered:
        // The count has to be asked for again before the next order.
        progress.accepted.reset();
        progress.retry_at = now + options_.retry_after;
        return;
    case order_outcome::fenced:
    case order_outcome::impossible:
        progress.accepted.reset();
        progress.retry_at = now + 4 * options_.retry_after;
        return;
    }
}

bool weight_rollout::idle() const
{
    return std::none_of(engines_.begin(), engines_.end(),
                        [](auto const& it)
                        { return it.second.order_pending || it.second.loading_until; });
}

std::optional<base::time_point> weight_rollout::loading_until(std::string const& upstream) const
{
    auto const it = engines_.find(upstream);
    return it == engines_.end() ? std::nullopt : it->second.loading_until;
}

} // namespace savorymount::orders
