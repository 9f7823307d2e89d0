#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/configuration/deployment.hpp>

#include <cstdint>

namespace savorymount::gateway
{

/// How one send to an upstream ended without a usable answer.
enum class attempt_failure
{
    /// No byte was sent.
    not_sent,
    /// The upstream said that it did not run the request.
    rejected,
    /// The request may have run.
    outcome_unknown,
    /// The upstream ran the request and answered with a failure.
    failure_response
};

/// What is known about a request when one of its sends has ended.
struct attempt_history
{
    configuration::repeat_rule repeatability = configuration::repeat_rule::unsafe;
    bool resumable = false;
    std::uint32_t max_attempts = 1;
    /// Sends of which a byte was sent.
    std::uint32_t attempts_sent = 0;
    /// Sends of which no byte was sent.
    std::uint32_t attempts_not_sent = 0;
    /// Whether some send may have run.
    bool may_have_run = false;
    base::duration time_left{};
    /// Repeats that the service's budget still allows.
    double retries_available = 0;

    bool operator==(attempt_history const&) const = default;
};

/// Whether a request may run more than once.
bool is_repeatable(configuration::repeat_rule kind, bool resumable);

/// Whether the request goes to another upstream after `last`.
bool may_retry(attempt_failure last, attempt_history const& history);

} // namespace savorymount::gateway
