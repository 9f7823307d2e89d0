#pragma once

#include <savorymount/base/time.hpp>

namespace savorymount::gateway
{

/// When a process that drains gets no new connections any more, and when it ends.
struct drain_schedule
{
    /// The load balancer sends new connections elsewhere from then on.
    base::time_point removed_at{};
    /// Requests that still run are cut off then.
    base::time_point ends_at{};

    bool operator==(drain_schedule const&) const = default;

    /// Whether a request may be passed on that takes `time_left` at most. Before the load balancer
    /// has removed the instance, its callers can't go elsewhere, so all may.
    bool leaves_time_for(base::time_point now, base::duration time_left) const
    {
        return now < removed_at || now + time_left <= ends_at;
    }
};

} // namespace savorymount::gateway
