#pragma once

#include <chrono>

namespace savorymount::base
{

/// Resolution of all times in the decision code.
using duration = std::chrono::microseconds;

/// Tags time points that the caller of the decision code supplies. It has no `now()`, so that
/// decisions can't read a clock.
struct monotonic_clock
{
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true;
};

/// A moment on the monotonic clock, in microseconds.
using time_point = monotonic_clock::time_point;

} // namespace savorymount::base
