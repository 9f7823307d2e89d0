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
    /// Share of requests whose first token takes longer than the hedging delay.
    double slow_share = 0.05;
    /// Observations before any hedge is sent.
    std::uint32_t min_observations = 100;
    /// Shortest hedging delay.
    base::duration min_delay = std::chrono::milliseconds(20);
};

/// Decides when a second copy of a slow request is worth its cost. Only repeatable requests.
class hedge_policy
{
public:
    explicit hedge_policy(hedge_options const& options);

    /// The first token of a request that was sent once arrived after `latency`.
    void record_latency(base::duration latency);

    /// Delay after which a hedge may be sent; empty when the request must not be hedged at all.
    std::optional<base::duration> hedging_delay(bool repeatable) const;

    /// Whether to hedge a request that has waited for `waited` without a first token, when the
    /// other upstream is expected to take `expected`. Takes from `budget` on true.
    bool should_hedge(base::time_point now, bool repeatable, base::duration wait_so_far,
                      base::duration expected_latency, retry_budget& budget) const;

private:
    static constexpr std::size_t bucket_count = 128;

    /// Latencies in buckets that grow by a constant factor; halved when full, so old ones fade.
    std::array<std::uint32_t, bucket_count> counts_{};
    std::uint32_t observations_ = 0;
    hedge_options options_;
};

} // namespace savorymount::retries
