#pragma once

#include <savorymount/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace savorymount::queueing
{

/// What is known when a caller is refused for lack of room.
struct refused_caller
{
    /// 0 is the most urgent.
    std::int32_t urgency = 0;
    /// Requests that wait and are at least as urgent.
    std::size_t waiting_ahead = 0;
    /// Mean time between two requests that begin.
    base::duration begin_interval{};
    /// Time until the caller stops waiting, less the time that the request needs.
    base::duration time_left{};

    bool operator==(refused_caller const&) const = default;
};

/// Tells refused callers when to return, so that each one meets room: after the requests that wait
/// and the callers that were told to return before, as far as these are at least as urgent.
class retry_schedule
{
public:
    /// The time until the caller should return; empty if that would be too late. `position` between
    /// 0 and 1 spreads the callers of several instances over one interval.
    std::optional<base::duration> book(base::time_point now, refused_caller const& caller,
                                       double position);

    /// Callers that were told to return and are not due yet.
    std::size_t size(base::time_point now);

private:
    void remove_due(base::time_point now);

    /// Times of return, by urgency.
    std::map<std::int32_t, std::multiset<base::time_point>> returns_;
};

} // namespace savorymount::queueing
