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
    /// Failures in a row that eject an upstream.
    std::uint32_t consecutive_failures = 5;
    /// Share of failures within `window` that ejects an upstream with at least `minimum_requests`.
    double failure_ratio = 0.5;
    std::uint32_t minimum_requests = 20;
    base::duration window = std::chrono::seconds(10);
    /// Length of the first ejection; doubles with each further one up to `longest_ejection`.
    base::duration ejection = std::chrono::seconds(5);
    base::duration longest_ejection = std::chrono::seconds(60);
    /// Largest share of the group that is ejected at once.
    double ejected_share = 0.5;
    /// Time in which a returning upstream goes from `first_share` to its full share.
    base::duration slow_start = std::chrono::seconds(10);
    double first_share = 0.1;
};

/// Ejects failing upstreams of one group for a time and lets them return with a rising share.
class outlier_ejection
{
public:
    explicit outlier_ejection(outlier_ejection_options const& options);

    /// Number of upstreams in the group, ejected ones included.
    void set_group_size(std::size_t size) { group_size_ = size; }

    void succeeded(base::time_point now, routing::upstream_id upstream);

    /// Returns true when this failure ejects the upstream. Refusals aren't failures.
    bool failed(base::time_point now, routing::upstream_id upstream);

    /// Forgets an upstream that left the group.
    void forget(routing::upstream_id upstream) { states_.erase(upstream); }

    /// Share of its normal traffic that the upstream may get: 0 while ejected, rising to 1
    /// afterwards.
    double share(base::time_point now, routing::upstream_id upstream) const;

    /// Number of upstreams that are ejected now.
    std::size_t ejected(base::time_point now) const;

private:
    struct state
    {
        std::uint32_t in_a_row = 0;
        std::uint32_t successes = 0;
        std::uint32_t failures = 0;
        base::time_point window_start{};
        base::time_point ejected_until{};
        /// Ejections without an intervening full recovery.
        std::uint32_t ejections = 0;
    };

    state& state_of(base::time_point now, routing::upstream_id upstream);

    outlier_ejection_options options_;
    std::size_t group_size_ = 0;
    std::unordered_map<routing::upstream_id, state> states_;
};

} // namespace savorymount::retries
