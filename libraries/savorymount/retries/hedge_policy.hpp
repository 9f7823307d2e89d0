#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/retries/retry_budget.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace savorymount::retries
{

struct hedge_options
{
    /// Largest share of requests whose first token may take longer than the hedging delay.
    double slow_share = 0.05;
    /// Number of latencies to record before any hedge is sent.
    std::uint32_t min_observations = 100;
    /// Shortest hedging delay.
    base::duration min_delay = std::chrono::milliseconds(20);
};

/// Decides when to send a hedge, a second copy of a slow request. Only repeatable requests are
/// hedged.
class hedge_policy
{
public:
    explicit hedge_policy(hedge_options const& options);

    /// Records the time to the first token of a request that was not hedged.
    void record_latency(base::duration latency);

    /// Delay after which a hedge may be sent; empty if the request must not be hedged.
    std::optional<base::duration> hedging_delay(bool repeatable) const;

    /// Whether to hedge a request that has waited for `wait_so_far` without a first token, if the
    /// other upstream is expected to take `expected_latency`. Spends one retry of `budget` if so.
    bool should_hedge(base::time_point now, bool repeatable, base::duration wait_so_far,
                      base::duration expected_latency, retry_budget& budget) const;

private:
    static constexpr std::size_t bucket_count = 128;

    /// Histogram of latencies in buckets that grow by a constant factor. All counts are halved
    /// after `max_observations`, so that older latencies lose weight.
    std::array<std::uint32_t, bucket_count> counts_{};
    std::uint32_t observations_ = 0;
    hedge_options options_;
};

} // namespace savorymount::retries
