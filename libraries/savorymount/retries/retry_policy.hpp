#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/retries/retry_budget.hpp>

#include <cstdint>

namespace savorymount::retries
{

/// How one attempt at an agent ended.
enum class attempt_outcome
{
    /// The agent refused the request without running it; another agent may accept it.
    refused,
    /// The agent refused the request without running it; every other agent would refuse it too.
    refused_everywhere,
    /// No byte of the request was sent to the agent.
    not_sent,
    /// The request may have run, and no token was delivered.
    failed,
    /// The request ran and failed after some tokens were delivered.
    failed_partially
};

/// What to do after a failed attempt.
enum class retry_decision
{
    retry_elsewhere,
    /// No retry; the request did not run.
    not_run,
    /// No retry; it is unknown whether the request ran.
    unknown,
    /// No retry; part of the response was delivered.
    partial
};

struct attempt
{
    attempt_outcome outcome = attempt_outcome::failed;
    /// Whether the request may safely run more than once.
    bool repeatable = false;
    /// Whether an earlier attempt of the same request may have run.
    bool may_have_run = false;
    /// Whether another engine can resume the response at the position reached.
    bool resumable = false;
    /// Number of attempts so far, including this one.
    std::uint32_t attempts = 1;
    /// Time until the client's deadline; zero or less if it has passed.
    base::duration time_left = base::duration::max();

    bool operator==(attempt const&) const = default;
};

/// Maximum number of attempts of one request.
constexpr std::uint32_t max_attempts = 4;

/// Decides whether to retry a request at another agent. Spends from `budget` only for
/// `retry_elsewhere`, and not if no byte of the last attempt was sent.
retry_decision decide_retry(base::time_point now, attempt const& last, retry_budget& budget);

} // namespace savorymount::retries
