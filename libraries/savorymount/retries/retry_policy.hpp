#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/retries/retry_budget.hpp>

#include <cstdint>

namespace savorymount::retries
{

/// How one attempt at an agent ended.
enum class attempt_outcome
{
    /// The agent itself refused the request as not run, and another agent may accept it.
    refused,
    /// The agent itself refused the request as not run, and every other agent would do the same.
    refused_everywhere,
    /// No byte of the request was written to the agent.
    not_sent,
    /// The request may have run, and no token was delivered.
    failed,
    /// The request ran and stopped after some tokens were delivered.
    failed_partially
};

/// What to do after an attempt.
enum class retry_decision
{
    retry_elsewhere,
    /// Give up; the request did not run.
    not_run,
    /// Give up; whether the request ran is unknown.
    unknown,
    /// Give up; part of the response was delivered.
    partial
};

struct attempt
{
    attempt_outcome outcome = attempt_outcome::failed;
    /// Whether the request may run more than once.
    bool repeatable = false;
    /// Whether an earlier attempt of the same request may have run.
    bool may_have_run = false;
    /// Whether the response can be resumed at the position reached on another engine.
    bool resumable = false;
    /// Number of attempts so far, this one included.
    std::uint32_t attempts = 1;
    /// Time left until the caller's deadline; zero or less means expired.
    base::duration time_left = base::duration::max();

    bool operator==(attempt const&) const = default;
};

/// Most attempts of one request.
constexpr std::uint32_t max_attempts = 4;

/// Decides whether a request goes to another agent. Takes from `budget` only for
/// `retry_elsewhere`, and not after an attempt of which no byte was sent.
retry_decision decide_retry(base::time_point now, attempt const& last, retry_budget& budget);

} // namespace savorymount::retries
