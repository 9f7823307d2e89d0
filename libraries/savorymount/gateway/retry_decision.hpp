#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/configuration/deployment.hpp>

#include <cstdint>

namespace savorymount::gateway
{

/// How one send to an upstream ended without a usable answer.
enum class send_end
{
    /// No byte was sent.
    not_sent,
    /// The upstream said that it did not run the request.
    rejected,
    /// The request may have run.
    lost,
    /// The upstream ran the request and answered with a failure.
    failed_answer
};

/// What is known about a request when one of its sends has ended.
struct send_history
{
    configuration::repeat_rule kind = configuration::repeat_rule::unsafe;
    bool resumable = false;
    std::uint32_t max_attempts = 1;
    /// Sends of which a byte was sent.
    std::uint32_t sent = 0;
    /// Sends of which no byte was sent.
    std::uint32_t not_sent = 0;
    /// Whether some send may have run.
    bool may_have_run = false;
    base::duration time_left{};
    /// Repeats that the service's budget still allows.
    double allowance = 0;

    bool operator==(send_history const&) const = default;
};

/// Whether a request may run more than once.
bool is_repeatable(configuration::repeat_rule kind, bool resumable);

/// Whether the request goes to another upstream after `last`.
bool may_send_again(send_end last, send_history const& history);

} // namespace savorymount::gateway
