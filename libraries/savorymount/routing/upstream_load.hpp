#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/routing/upstream_id.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace savorymount::routing
{

/// What an agent reports about its upstream.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Prompt tokens that wait for or are in prefill.
    std::uint64_t queued_tokens = 0;

    bool operator==(load_report const&) const = default;
};

/// Estimated load of an upstream at one moment.
struct load_estimate
{
    std::uint32_t requests = 0;
    std::uint64_t queued_tokens = 0;
    /// Time since the last report; empty before the first one.
    std::optional<base::duration> report_age;

    bool operator==(load_estimate const&) const = default;
};

/// Per upstream: the last load report, corrected by what this entry sent and saw start or finish
/// since.
class upstream_load
{
public:
    /// Reports are taken as `report_lag` old when they arrive.
    explicit upstream_load(base::duration report_lag);

    void report(base::time_point now, upstream_id upstream, load_report const& load);

    /// This entry sent a request with `tokens` of expected prefill.
    void sent(base::time_point now, upstream_id upstream, std::uint64_t tokens);

    /// The prefill of a sent request ended: its first token arrived, or it ended without one.
    void started(base::time_point now, upstream_id upstream, std::uint64_t tokens);

    /// A sent request ended; call `started` before.
    void finished(base::time_point now, upstream_id upstream);

    /// Forgets the upstream, for example on a new engine process id or a released handle. Requests
    /// of this entry that are still open there no longer count.
    void reset(upstream_id upstream);

    load_estimate estimate(base::time_point now, upstream_id upstream) const;

    std::size_t memory_bytes() const;

private:
    /// Changes by this entry within a stretch of time.
    struct load_change
    {
        std::int64_t tokens = 0;
        std::int32_t requests = 0;
    };
    /// Stretches per lag; with the current one they cover the time that a report can't contain.
    static constexpr std::size_t buckets_per_lag = 4;

    struct state
    {
        load_report last_report;
        base::time_point reported_at{};
        bool has_report = false;
        /// Number of the current stretch since the epoch of the clock.
        std::int64_t current_bucket = 0;
        std::array<load_change, buckets_per_lag + 1> recent_buckets;
        /// Changes before the recent ones that the last report doesn't contain.
        load_change unreported_change;
        /// Open requests of this entry.
        std::int64_t open_tokens = 0;
        std::int32_t open_requests = 0;
    };

    state& state_of(upstream_id upstream);
    void advance_buckets(state& it, base::time_point now) const;
    void add_change(base::time_point now, state& it, std::int64_t tokens,
                    std::int32_t requests) const;

    std::vector<state> states_;
    base::duration bucket_duration_;
};

} // namespace savorymount::routing
