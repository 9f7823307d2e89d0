#include <savorymount/retries/hedge_policy.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace savorymount::retries
{
namespace
{

/// Shortest latency that is told apart from zero.
constexpr base::duration first_bucket = std::chrono::milliseconds(1);
/// Growth from bucket to bucket; 128 buckets reach beyond ten minutes.
constexpr double growth = 1.11;
/// Observations after which all counts are halved.
constexpr std::uint32_t most_observations = 10'000;

} // namespace

hedge_policy::hedge_policy(hedge_options const& options) : options_(options) {}

void hedge_policy::observed(base::duration latency)
{
    double const ratio = static_cast<double>(std::max(latency, first_bucket).count()) /
                         static_cast<double>(first_bucket.count());
    auto const bucket = static_cast<std::size_t>(std::log(ratio) / std::log(growth));
    ++counts_[std::min(bucket, buckets - 1)];
    if (++observations_ < most_observations)
        return;
    for (std::uint32_t& it : counts_)
        it /= 2;
    observations_ = std::accumulate(counts_.begin(), counts_.end(), std::uint32_t{0});
}

std::optional<base::duration> hedge_policy::delay(bool repeatable) const
{
    if (!repeatable || observations_ < options_.minimum_observations)
        return std::nullopt;
    double const allowed = options_.slow_share * observations_;
    double slower = 0;
    std::size_t bucket = buckets;
    while (bucket > 0 && slower + counts_[bucket - 1] <= allowed)
        slower += counts_[--bucket];
    // The upper end of the bucket, so that no more than the slow share is hedged.
    double const latency =
        static_cast<double>(first_bucket.count()) * std::pow(growth, static_cast<double>(bucket));
    return std::max(options_.shortest_delay,
                    base::duration(static_cast<base::duration::rep>(latency)));
}

bool hedge_policy::should_hedge(base::time_point now, bool repeatable, base::duration waited,
                                base::duration expected, retry_budget& budget) const
{
    auto const least = delay(repeatable);
    if (!least || waited < *least)
        return false;
    // Latencies of this kind have a long tail: who has waited for some time is expected to wait
    // about as long again. A copy that would need longer than that doesn't pay.
    if (expected >= waited)
        return false;
    return budget.try_spend(now);
}

} // namespace savorymount::retries
