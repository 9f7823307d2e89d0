#include <savorymount/limits/token_estimator.hpp>

#include <algorithm>
#include <cmath>

namespace savorymount::limits
{

namespace
{

/// Minimum weight of a new sample in the mean.
constexpr double sample_weight = 0.05;
/// Number of standard deviations that the estimate lies above the mean.
constexpr double deviation_factor = 3.0;
/// Fraction by which the largest ratio approaches the mean with each sample.
constexpr double max_ratio_decay = 0.01;
/// Factor on the estimate until there are `initial_samples` samples.
constexpr double initial_factor = 1.25;
constexpr std::uint64_t initial_samples = 20;

} // namespace

token_estimator::token_estimator(std::size_t capacity)
    : capacity_(std::max<std::size_t>(capacity, 1))
{
}

void token_estimator::observe(std::string const& model, std::uint64_t bytes, std::uint64_t tokens)
{
    if (bytes == 0)
        return;
    auto found = models_.find(model);
    if (found == models_.end())
    {
        if (models_.size() == capacity_)
        {
            models_.erase(by_recent_use_.back().model);
            by_recent_use_.pop_back();
        }
        by_recent_use_.push_front({model, 0, 0, 0, 0});
        found = models_.emplace(by_recent_use_.front().model, by_recent_use_.begin()).first;
    }
    by_recent_use_.splice(by_recent_use_.begin(), by_recent_use_, found->second);
    auto& it = by_recent_use_.front();
    auto const ratio = static_cast<double>(tokens) / static_cast<double>(bytes);
    ++it.samples;
    auto const weight = std::max(sample_weight, 1.0 / static_cast<double>(it.samples));
    auto const difference = ratio - it.mean;
    it.mean += weight * difference;
    it.variance = (1 - weight) * (it.variance + weight * difference * difference);
    it.max_ratio = std::max(ratio, it.max_ratio - max_ratio_decay * (it.max_ratio - it.mean));
}

std::uint64_t token_estimator::estimate(std::string const& model, std::uint64_t bytes) const
{
    auto const found = models_.find(model);
    auto ratio = 1.0 / default_bytes_per_token;
    if (found != models_.end())
    {
        auto const& it = *found->second;
        ratio = std::max(it.mean + deviation_factor * std::sqrt(it.variance), it.max_ratio);
        if (it.samples < initial_samples)
            ratio *= initial_factor;
    }
    return static_cast<std::uint64_t>(std::ceil(ratio * static_cast<double>(bytes)));
}

} // namespace savorymount::limits
