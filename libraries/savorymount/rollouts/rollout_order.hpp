#pragma once

#include <savorymount/base/time.hpp>

#include <cstdint>
#include <string>

namespace savorymount::rollouts
{

/// The operators' order to move a service's requests to upstreams of another software version.
struct rollout_order
{
    std::string service;
    /// Software version to which the requests move.
    std::string target;
    /// Time limit, from the order on.
    base::duration duration{};

    bool operator==(rollout_order const&) const = default;
};

/// State of a roll-out as the operators see it.
enum class rollout_state : std::uint8_t
{
    running,
    completed,
    rolled_back
};

inline constexpr rollout_state last_rollout_state = rollout_state::rolled_back;

/// The record that the system writes for the operators.
struct rollout_status
{
    std::string service;
    std::string target;
    rollout_state state = rollout_state::running;
    /// Age of the order when the record was written.
    base::duration age{};

    bool operator==(rollout_status const&) const = default;
};

/// Stages of a roll-out, in their order.
enum class rollout_step : std::uint8_t
{
    /// A bounded share of the requests goes to the target.
    probe,
    fifth,
    two_fifths,
    /// All requests go to the target that its upstreams can take.
    carry
};

inline constexpr rollout_step last_rollout_step = rollout_step::carry;

} // namespace savorymount::rollouts
