#pragma once

#include <savorymount/base/time.hpp>

#include <cstdint>

namespace savorymount::limits
{

/// Timing of bucket leases and grants, from section 18 of the design page. All agents of a
/// deployment must use the same values.
struct limit_timing
{
    /// How long an owner may grant after the log or the list confirmed its lease.
    base::duration confirmation_lifetime = std::chrono::seconds(3);
    /// How long an agent may admit requests from a grant, counted from before it requested the
    /// grant.
    base::duration grant_lifetime = std::chrono::seconds(2);
    /// Covers clock rate drift and scheduling delays.
    base::duration clock_margin = std::chrono::seconds(1);
    /// Maximum age of what the instance list returns.
    base::duration list_lag_bound = std::chrono::seconds(10);

    /// How long a new holder waits before it grants, from when it read its own lease record.
    base::duration takeover_wait() const
    {
        return confirmation_lifetime + grant_lifetime + clock_margin;
    }

    /// How long a holder must be absent from the list before another agent may take over.
    base::duration takeover_absence() const { return list_lag_bound + takeover_wait(); }

    bool operator==(limit_timing const&) const = default;
};

} // namespace savorymount::limits
