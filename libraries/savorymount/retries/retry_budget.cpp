#include <savorymount/retries/retry_budget.hpp>

#include <algorithm>

namespace savorymount::retries
{
namespace
{

/// Tolerates rounding errors: ten successes that add 0.1 each must make a full retry.
constexpr double rounding_tolerance = 1e-9;

} // namespace

retry_budget::retry_budget(retry_budget_options const& options, base::time_point now)
    : options_(options), balance_(std::min(options.max_balance, options.retries_per_second)),
      refilled_at_(now)
{
}

double retry_budget::available(base::time_point now) const
{
    std::chrono::duration<double> const elapsed = std::max(base::duration(0), now - refilled_at_);
    return std::min(options_.max_balance, balance_ + elapsed.count() * options_.retries_per_second);
}

void retry_budget::refill(base::time_point now)
{
    balance_ = available(now);
    refilled_at_ = std::max(refilled_at_, now);
}

void retry_budget::record_success(base::time_point now)
{
    refill(now);
    balance_ = std::min(options_.max_balance, balance_ + options_.retries_per_success);
}

bool retry_budget::try_spend(base::time_point now)
{
    refill(now);
    if (balance_ + rounding_tolerance < 1.0)
        return false;
    balance_ = std::max(0.0, balance_ - 1.0);
    return true;
}

} // namespace savorymount::retries
