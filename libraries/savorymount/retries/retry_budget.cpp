#include <savorymount/retries/retry_budget.hpp>

#include <algorithm>

namespace savorymount::retries
{
namespace
{

/// Keeps a sum of earned shares, such as ten times 0.1, from falling short of one.
constexpr double rounding = 1e-9;

} // namespace

retry_budget::retry_budget(retry_budget_options const& options, base::time_point now)
    : options_(options), level_(std::min(options.limit, options.minimum_per_second)),
      refilled_at_(now)
{
}

double retry_budget::available(base::time_point now) const
{
    std::chrono::duration<double> const passed = std::max(base::duration(0), now - refilled_at_);
    return std::min(options_.limit, level_ + passed.count() * options_.minimum_per_second);
}

void retry_budget::refill(base::time_point now)
{
    level_ = available(now);
    refilled_at_ = std::max(refilled_at_, now);
}

void retry_budget::succeeded(base::time_point now)
{
    refill(now);
    level_ = std::min(options_.limit, level_ + options_.per_success);
}

bool retry_budget::try_spend(base::time_point now)
{
    refill(now);
    if (level_ + rounding < 1.0)
        return false;
    level_ = std::max(0.0, level_ - 1.0);
    return true;
}

} // namespace savorymount::retries
