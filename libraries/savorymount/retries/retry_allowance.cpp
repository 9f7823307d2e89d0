#include <savorymount/retries/retry_allowance.hpp>

#include <algorithm>

namespace savorymount::retries
{
namespace
{

// Part of the bounds that is used, so that requests counted on both sides of a window's edge and a
// restarted instance stay inside them.
constexpr double used_part = 0.7;

} // namespace

void retry_allowance::requested(base::time_point now)
{
    expire(now);
    requests_.push_back(now);
}

bool retry_allowance::try_spend(base::time_point now)
{
    if (available(now) < 1)
        return false;
    repeats_.push_back(now);
    return true;
}

void retry_allowance::refund()
{
    if (!repeats_.empty())
        repeats_.pop_back();
}

double retry_allowance::available(base::time_point now)
{
    expire(now);
    auto const earned = bounds_.ratio * static_cast<double>(requests_.size());
    auto const share = bounds_.slack / static_cast<double>(std::max<std::size_t>(instances_, 1));
    return used_part * (earned + share) - static_cast<double>(repeats_.size());
}

void retry_allowance::expire(base::time_point now)
{
    auto const oldest = now - bounds_.window;
    while (!requests_.empty() && requests_.front() < oldest)
        requests_.pop_front();
    while (!repeats_.empty() && repeats_.front() < oldest)
        repeats_.pop_front();
}

} // namespace savorymount::retries
