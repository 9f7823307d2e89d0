#include <savorymount/retries/retry_quota.hpp>

#include <algorithm>

namespace savorymount::retries
{
namespace
{

// Share of the limit that is used. The rest covers requests that count on both sides of a window
// boundary, and retries that an instance sent before it restarted.
constexpr double safety_factor = 0.7;

} // namespace

void retry_quota::record_request(base::time_point now)
{
    remove_expired(now);
    requests_.push_back(now);
}

bool retry_quota::try_spend(base::time_point now)
{
    if (available(now) < 1)
        return false;
    retries_.push_back(now);
    return true;
}

void retry_quota::refund()
{
    if (!retries_.empty())
        retries_.pop_back();
}

double retry_quota::available(base::time_point now)
{
    remove_expired(now);
    auto const allowed_by_requests = options_.ratio * static_cast<double>(requests_.size());
    auto const slack_share =
        options_.slack / static_cast<double>(std::max<std::size_t>(instance_count_, 1));
    return safety_factor * (allowed_by_requests + slack_share) -
           static_cast<double>(retries_.size());
}

void retry_quota::remove_expired(base::time_point now)
{
    auto const oldest = now - options_.window;
    while (!requests_.empty() && requests_.front() < oldest)
        requests_.pop_front();
    while (!retries_.empty() && retries_.front() < oldest)
        retries_.pop_front();
}

} // namespace savorymount::retries
