#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/routing/upstream_id.hpp>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace savorymount::retries
{

struct outlier_ejection_options
{
    /// Number of consecutive failures that eject an upstream.
    std::uint32_t consecutive_failures = 5;
    /// Share of failed requests within `window` that ejects an upstream with at least
    /// `min_requests`.
    double failure_ratio = 0.5;
    std::uint32_t min_requests = 20;
    base::duration window = std::chrono::seconds(10);
    /// Duration of the first ejection; doubles with each further one up to `max_ejection_duration`.
    base::duration ejection_duration = std::chrono::seconds(5);
    base::duration max_ejection_duration = std::chrono::seconds(60);
    /// Largest share of the group that may be ejected at the same time.
    double max_ejected_share = 0.5;
    /// Time in which the traffic of a returning upstream rises from `initial_share` to its full
    /// share.
    base::duration slow_start = std::chrono::seconds(10);
    double initial_share = 0.1;
};

/// Ejects failing upstreams of one group for a limited time, after which their traffic increases
/// gradually (slow start).
class outlier_ejection
{
public:
    explicit outlier_ejection(outlier_ejection_options const& options);

    /// Sets the number of upstreams in the group, including ejected ones.
    void set_group_size(std::size_t size) { group_size_ = size; }

    void record_success(base::time_point now, routing::upstream_id upstream);

    /// Returns true if this failure ejects the upstream. Refusals must not be recorded as failures.
    bool record_failure(base::time_point now, routing::upstream_id upstream);

    /// Removes an upstream that left the group.
    void remove(routing::upstream_id upstream) { states_.erase(upstream); }

    /// Share of its normal traffic that the upstream may receive: 0 while ejected, then rising
    /// to 1.
    double traffic_share(base::time_point now, routing::upstream_id upstream) const;

    /// Number of upstreams that are ejected at `now`.
    std::size_t ejected_count(base::time_point now) const;

private:
    struct upstream_state
    {
        std::uint32_t consecutive_failures = 0;
        std::uint32_t successes = 0;
        std::uint32_t failures = 0;
        base::time_point window_start{};
        base::time_point ejected_until{};
        /// Number of ejections since the last full recovery.
        std::uint32_t ejections = 0;
    };

    upstream_state& state_of(base::time_point now, routing::upstream_id upstream);

    outlier_ejection_options options_;
    std::size_t group_size_ = 0;
    std::unordered_map<routing::upstream_id, upstream_state> states_;
};

} // namespace savorymount::retries
