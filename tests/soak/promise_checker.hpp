#pragma once

#include <savorymount/base/time.hpp>

#include <optional>
#include <string>
#include <tests/soak/soak_history.hpp>
#include <vector>

namespace savorymount::soak
{

/// A promise that a history breaks.
struct violation
{
    std::string promise;
    std::string what;

    bool operator==(violation const&) const = default;
};

/// Bounds of the promises, as the deployment states them.
struct promise_bounds
{
    /// A deployment without a disturbance for this long is stable.
    base::duration stable = std::chrono::milliseconds(4000);
    /// From a change of the configuration to its use everywhere.
    base::duration configuration = std::chrono::milliseconds(3000);
    /// From a new version's naming to the last request that begins on an older one.
    base::duration version = std::chrono::milliseconds(8000);
    /// The limit of the third key's workspace, in requests; its bookings cost one token each.
    double rate = 10;
    double burst = 10;
    base::duration quota_window = std::chrono::seconds(8);
    /// What may pass above the limit, as a part of it and as a time of the rate.
    double quota_excess = 0.1;
    base::duration quota_slack = std::chrono::milliseconds(3800);
    /// From a request's last byte to the close of its connection, if it was not read.
    base::duration loss_slack = std::chrono::milliseconds(200);
    /// From the fifth crash by a prompt part to the end of its being sent to engines.
    base::duration crash_reaction = std::chrono::milliseconds(3000);
    /// Crashes by the part after that time. Empty: they are counted but not judged.
    std::optional<std::size_t> late_crashes = 3;
    /// From the naming of an upstream's limit to its use by all instances.
    base::duration limit_reaction = std::chrono::milliseconds(3000);
    /// Requests that a limit allows in any span of this length: a multiple of its rate, and some.
    base::duration limit_window = std::chrono::milliseconds(4000);
    double limit_factor = 1.5;
    double limit_slack = 5;
    /// The longest time to the refusal of a request that no upstream can take.
    base::duration refusal = std::chrono::milliseconds(500);
    /// From an answer that says that its upstream leaves to the last request that it gets.
    base::duration drain = std::chrono::milliseconds(2000);
    /// How long an upstream that rejected a request wants none, when that begins to count, and
    /// how many requests may reach it meanwhile.
    base::duration unavailable = std::chrono::milliseconds(3000);
    base::duration unavailable_reaction = std::chrono::milliseconds(500);
    std::size_t requests_while_unavailable = 2;

    bool operator==(promise_bounds const&) const = default;
};

/// The key that operators withdraw and grant again.
std::string const& second_key();
/// The key of a workspace with a limit.
std::string const& limited_key();

/// The prompt part that crashes engines during `fault_kind::crash_on_part`.
std::string const& crashing_part();

/// Crashes by the crashing part that came too long after the fifth one.
std::size_t count_late_crashes(soak_history const& history, promise_bounds const& bounds);

/// All violations of a history, in the order of the promises.
std::vector<violation> check_promises(soak_history const& history, promise_bounds const& bounds);

} // namespace savorymount::soak
