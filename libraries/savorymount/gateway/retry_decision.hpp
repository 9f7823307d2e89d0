#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/configuration/deployment.hpp>

#include <cstdint>

namespace savorymount::gateway
{

/// How an attempt ended without a response for the caller.
enum class attempt_failure
{
    /// No byte was sent.
    not_sent,
    /// The upstream responded that it did not execute the request.
    rejected,
    /// Another process responded at the upstream's address, and did not execute the request.
    upstream_ended,
    /// The request may have been executed.
    outcome_unknown,
    /// The upstream executed the request and responded with a failure.
    failure_response
};

/// The state of a request after one of its attempts failed.
struct attempt_history
{
    configuration::repeat_rule repeatability = configuration::repeat_rule::unsafe;
    bool resumable = false;
    std::uint32_t max_attempts = 1;
    /// Attempts that sent at least one byte to the upstream.
    std::uint32_t attempts_sent = 0;
    /// Attempts that sent no byte, or whose upstream had ended.
    std::uint32_t attempts_not_sent = 0;
    /// Whether an attempt may have executed the request.
    bool may_have_run = false;
    base::duration time_left{};
    /// Retries left in the service's quota.
    double retries_available = 0;

    bool operator==(attempt_history const&) const = default;
};

/// Whether a request may be executed more than once.
bool is_repeatable(configuration::repeat_rule rule, bool resumable);

/// Whether the request may be retried on another upstream after the attempt that ended with
/// `failure`.
bool may_retry(attempt_failure failure, attempt_history const& history);

} // namespace savorymount::gateway
