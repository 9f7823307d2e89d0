#pragma once

#include <chrono>

namespace savorymount::base
{

/// Time resolution of all library code that gets its time from its caller.
using duration = std::chrono::microseconds;

/// Clock type of time points that callers pass in. It has no `now()`, so that code which decides by
/// time can't read a clock and stays reproducible in tests.
struct monotonic_clock
{
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true;
};

/// A point in time on the monotonic clock, in microseconds.
using time_point = monotonic_clock::time_point;

/// Whole milliseconds of a duration, rounded towards zero.
constexpr std::int64_t to_milliseconds(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace savorymount::base
