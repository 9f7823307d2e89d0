#include <savorymount/retries/hedge_policy.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace savorymount::retries
{
namespace
{

/// Upper bound of the shortest latency that the histogram distinguishes.
constexpr base::duration min_latency = std::chrono::milliseconds(1);
/// Ratio of the bounds of consecutive buckets; 128 buckets cover more than ten minutes.
constexpr double bucket_growth = 1.11;
/// Number of observations after which all counts are halved.
constexpr std::uint32_t max_observations = 10'000;

} // namespace

hedge_policy::hedge_policy(hedge_options const& options) : options_(options) {}

void hedge_policy::record_latency(base::duration latency)
{
    double const ratio = static_cast<double>(std::max(latency, min_latency).count()) /
                         static_cast<double>(min_latency.count());
    auto const bucket = static_cast<std::size_t>(std::log(ratio) / std::log(bucket_growth));
    ++counts_[std::min(bucket, bucket_count - 1)];
    if (++observations_ < max_observations)
        return;
    for (std::uint32_t& it : counts_)
        it /= 2;
    observations_ = std::accumulate(counts_.begin(), counts_.end(), std::uint32_t{0});
}

std::optional<base::duration> hedge_policy::hedging_delay(bool repeatable) const
{
    if (!repeatable || observations_ < options_.min_observations)
        return std::nullopt;
    double const max_slower_count = options_.slow_share * observations_;
    double slower_count = 0;
    std::size_t bucket = bucket_count;
    while (bucket > 0 && slower_count + counts_[bucket - 1] <= max_slower_count)
        slower_count += counts_[--bucket];
    // Uses the upper bound of the bucket, so that at most the slow share is hedged.
    double const latency = static_cast<double>(min_latency.count()) *
                           std::pow(bucket_growth, static_cast<double>(bucket));
    return std::max(options_.min_delay, base::duration(static_cast<base::duration::rep>(latency)));
}

bool hedge_policy::should_hedge(base::time_point now, bool repeatable, base::duration wait_so_far,
                                base::duration expected_latency, retry_budget& budget) const
{
    auto const delay = hedging_delay(repeatable);
    if (!delay || wait_so_far < *delay)
        return false;
    // These latencies have a long tail: a request that has waited for some time is expected to wait
    // about as long again. A hedge that would take longer than that is not worth its cost.
    if (expected_latency >= wait_so_far)
        return false;
    return budget.try_spend(now);
}

} // namespace savorymount::retries
