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

/// Load that an agent reports for its upstream.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Prompt tokens that are waiting for prefill or being prefilled.
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

/// Estimates the load of each upstream: its last load report, corrected by the requests of this
/// router instance that were sent, prefilled or finished since.
class upstream_load
{
public:
    /// Load reports are assumed to be `report_lag` old when they arrive.
    explicit upstream_load(base::duration report_lag);

    void report(base::time_point now, upstream_id upstream, load_report const& load);

    /// Records that this router instance sent a request with `tokens` of expected prefill.
    void sent(base::time_point now, upstream_id upstream, std::uint64_t tokens);

    /// Records that the prefill of a sent request ended: its first token arrived, or it ended
    /// without one.
    void prefill_finished(base::time_point now, upstream_id upstream, std::uint64_t tokens);

    /// Records that a sent request ended; call `prefill_finished` first.
    void finished(base::time_point now, upstream_id upstream);

    /// Clears the state of the upstream, for example on a new engine process or a released handle.
    /// Requests that are still open there no longer count.
    void reset(upstream_id upstream);

    load_estimate estimate(base::time_point now, upstream_id upstream) const;

    std::size_t memory_bytes() const;

private:
    /// Net change of the load by this router instance within one time bucket.
    struct load_change
    {
        std::int64_t tokens = 0;
        std::int32_t requests = 0;
    };
    /// Time buckets per report lag. Together with the current bucket they cover the time that a
    /// report can't include yet.
    static constexpr std::size_t buckets_per_lag = 4;

    struct state
    {
        load_report last_report;
        base::time_point reported_at{};
        bool has_report = false;
        /// Index of the current time bucket since the epoch of the clock.
        std::int64_t current_bucket = 0;
        std::array<load_change, buckets_per_lag + 1> recent_buckets;
        /// Changes from before `recent_buckets` that the last report doesn't include.
        load_change unreported_change;
        /// Open requests of this router instance.
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
