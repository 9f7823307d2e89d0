#pragma once

#include <savorymount/base/time.hpp>

namespace savorymount::retries
{

struct retry_budget_options
{
    /// Retries added by each success.
    double retries_per_success = 0.1;
    /// Retries added per second without any success, so that a group with little traffic can retry.
    double retries_per_second = 1.0;
    /// Maximum number of retries that can accumulate.
    double max_balance = 20.0;
};

/// Limits the retries of one upstream group to a share of its successes (a token bucket).
class retry_budget
{
public:
    retry_budget(retry_budget_options const& options, base::time_point now);

    void record_success(base::time_point now);

    /// Spends one retry of the budget; false if none is left.
    bool try_spend(base::time_point now);

    /// Number of retries left.
    double available(base::time_point now) const;

private:
    void refill(base::time_point now);

    retry_budget_options options_;
    double balance_;
    base::time_point refilled_at_;
};

} // namespace savorymount::retries
