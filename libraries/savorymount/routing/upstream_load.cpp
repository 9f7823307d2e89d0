#include <savorymount/routing/upstream_load.hpp>

#include <algorithm>

namespace savorymount::routing
{
namespace
{

/// Age at which a report is ignored. Otherwise an upstream that reported a long queue and then
/// stopped reporting would never get requests again.
constexpr base::duration max_report_age = std::chrono::seconds(5);

} // namespace

upstream_load::upstream_load(base::duration report_lag)
    : bucket_duration_(std::max<base::duration>(report_lag / buckets_per_lag, base::duration(1)))
{
}

upstream_load::state& upstream_load::state_of(upstream_id upstream)
{
    if (upstream >= states_.size())
        states_.resize(upstream + 1);
    return states_[upstream];
}

void upstream_load::advance_buckets(state& it, base::time_point now) const
{
    std::int64_t const bucket = now.time_since_epoch() / bucket_duration_;
    auto const size = static_cast<std::int64_t>(it.recent_buckets.size());
    std::int64_t const elapsed_buckets =
        std::clamp<std::int64_t>(bucket - it.current_bucket, 0, size);
    for (std::int64_t i = 1; i <= elapsed_buckets; ++i)
    {
        load_change& oldest =
            it.recent_buckets[static_cast<std::size_t>((it.current_bucket + i) % size)];
        it.unreported_change.tokens += oldest.tokens;
        it.unreported_change.requests += oldest.requests;
        oldest = {};
    }
    it.current_bucket = std::max(it.current_bucket, bucket);
}

void upstream_load::add_change(base::time_point now, state& it, std::int64_t tokens,
                               std::int32_t requests) const
{
    advance_buckets(it, now);
    load_change& current =
        it.recent_buckets[static_cast<std::size_t>(it.current_bucket) % it.recent_buckets.size()];
    current.tokens += tokens;
    current.requests += requests;
}

void upstream_load::report(base::time_point now, upstream_id upstream, load_report const& load)
{
    state& it = state_of(upstream);
    advance_buckets(it, now);
    it.last_report = load;
    it.reported_at = now;
    it.has_report = true;
    it.unreported_change = {};
}

void upstream_load::sent(base::time_point now, upstream_id upstream, std::uint64_t tokens)
{
    state& it = state_of(upstream);
    add_change(now, it, static_cast<std::int64_t>(tokens), 1);
    it.open_tokens += static_cast<std::int64_t>(tokens);
    ++it.open_requests;
}

void upstream_load::prefill_finished(base::time_point now, upstream_id upstream,
                                     std::uint64_t tokens)
{
    state& it = state_of(upstream);
    // Requests that were sent before a `reset` must not make the load negative when they end.
    std::int64_t const completed_tokens =
        std::min(it.open_tokens, static_cast<std::int64_t>(tokens));
    add_change(now, it, -completed_tokens, 0);
    it.open_tokens -= completed_tokens;
}

void upstream_load::finished(base::time_point now, upstream_id upstream)
{
    state& it = state_of(upstream);
    if (it.open_requests == 0)
        return;
    add_change(now, it, 0, -1);
    --it.open_requests;
}

void upstream_load::reset(upstream_id upstream)
{
    state_of(upstream) = {};
}

load_estimate upstream_load::estimate(base::time_point now, upstream_id upstream) const
{
    load_estimate out;
    if (upstream >= states_.size())
        return out;
    state const& it = states_[upstream];
    std::int64_t tokens = 0;
    std::int64_t requests = 0;
    if (it.has_report)
        out.report_age = std::max(base::duration(0), now - it.reported_at);
    if (it.has_report && *out.report_age < max_report_age)
    {
        load_change sum = it.unreported_change;
        for (load_change const& recent : it.recent_buckets)
        {
            sum.tokens += recent.tokens;
            sum.requests += recent.requests;
        }
        tokens = static_cast<std::int64_t>(it.last_report.queued_tokens) + sum.tokens;
        requests = std::int64_t{it.last_report.running} + it.last_report.waiting + sum.requests;
    }
    // The load is at least that of the open requests of this router instance.
    out.queued_tokens = static_cast<std::uint64_t>(std::max(tokens, it.open_tokens));
    out.requests = static_cast<std::uint32_t>(std::max<std::int64_t>(requests, it.open_requests));
    return out;
}

std::size_t upstream_load::memory_bytes() const
{
    return states_.capacity() * sizeof(state);
}

} // namespace savorymount::routing
