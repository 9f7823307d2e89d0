#include <savorymount/routing/upstream_load.hpp>

#include <algorithm>

namespace savorymount::routing
{
namespace
{

/// Age at which a report counts as missing. Without it, an upstream that reported a long queue and
/// then fell silent would never be tried again.
constexpr base::duration stale_report = std::chrono::seconds(5);

} // namespace

upstream_load::upstream_load(base::duration report_lag)
    : stretch_(std::max<base::duration>(report_lag / stretches_per_lag, base::duration(1)))
{
}

upstream_load::state& upstream_load::state_of(upstream_id upstream)
{
    if (upstream >= states_.size())
        states_.resize(upstream + 1);
    return states_[upstream];
}

void upstream_load::advance(state& it, base::time_point now) const
{
    std::int64_t const stretch = now.time_since_epoch() / stretch_;
    auto const size = static_cast<std::int64_t>(it.recent.size());
    std::int64_t const passed = std::clamp<std::int64_t>(stretch - it.stretch, 0, size);
    for (std::int64_t i = 1; i <= passed; ++i)
    {
        changes& oldest = it.recent[static_cast<std::size_t>((it.stretch + i) % size)];
        it.older.tokens += oldest.tokens;
        it.older.requests += oldest.requests;
        oldest = {};
    }
    it.stretch = std::max(it.stretch, stretch);
}

void upstream_load::add(base::time_point now, state& it, std::int64_t tokens,
                        std::int32_t requests) const
{
    advance(it, now);
    changes& current = it.recent[static_cast<std::size_t>(it.stretch) % it.recent.size()];
    current.tokens += tokens;
    current.requests += requests;
}

void upstream_load::report(base::time_point now, upstream_id upstream, load_report const& load)
{
    state& it = state_of(upstream);
    advance(it, now);
    it.last = load;
    it.reported_at = now;
    it.reported = true;
    it.older = {};
}

void upstream_load::sent(base::time_point now, upstream_id upstream, std::uint64_t tokens)
{
    state& it = state_of(upstream);
    add(now, it, static_cast<std::int64_t>(tokens), 1);
    it.own_tokens += static_cast<std::int64_t>(tokens);
    ++it.own_requests;
}

void upstream_load::started(base::time_point now, upstream_id upstream, std::uint64_t tokens)
{
    state& it = state_of(upstream);
    // After `forget`, ends of requests that no longer count must not make the load negative.
    std::int64_t const counted = std::min(it.own_tokens, static_cast<std::int64_t>(tokens));
    add(now, it, -counted, 0);
    it.own_tokens -= counted;
}

void upstream_load::finished(base::time_point now, upstream_id upstream)
{
    state& it = state_of(upstream);
    if (it.own_requests == 0)
        return;
    add(now, it, 0, -1);
    --it.own_requests;
}

void upstream_load::forget(upstream_id upstream)
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
    if (it.reported)
        out.report_age = std::max(base::duration(0), now - it.reported_at);
    if (it.reported && *out.report_age < stale_report)
    {
        changes sum = it.older;
        for (changes const& recent : it.recent)
        {
            sum.tokens += recent.tokens;
            sum.requests += recent.requests;
        }
        tokens = static_cast<std::int64_t>(it.last.queued_tokens) + sum.tokens;
        requests = std::int64_t{it.last.running} + it.last.waiting + sum.requests;
    }
    // What this entry has open there is certain, whatever the report says.
    out.queued_tokens = static_cast<std::uint64_t>(std::max(tokens, it.own_tokens));
    out.requests = static_cast<std::uint32_t>(std::max<std::int64_t>(requests, it.own_requests));
    return out;
}

std::size_t upstream_load::memory_bytes() const
{
    return states_.capacity() * sizeof(state);
}

} // namespace savorymount::routing
