#pragma once

#include <savorymount/base/time.hpp>

namespace savorymount::retries
{

struct retry_budget_options
{
    /// Retries earned by each success.
    double retries_per_success = 0.1;
    /// Retries earned by time alone, so that a group with little traffic can retry at all.
    double retries_per_second = 1.0;
    /// Most retries that can be saved.
    double max_balance = 20.0;
};

/// Limits the retries of one upstream group to a share of its successes.
class retry_budget
{
public:
    retry_budget(retry_budget_options const& options, base::time_point now);

    void record_success(base::time_point now);

    /// Takes one retry from the budget; false when none is left.
    bool try_spend(base::time_point now);

    /// Retries left.
    double available(base::time_point now) const;

private:
    void refill(base::time_point now);

    retry_budget_options options_;
    double balance_;
    base::time_point refilled_at_;
};

} // namespace savorymount::retries
