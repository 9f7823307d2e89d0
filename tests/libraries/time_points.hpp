#pragma once

#include <savorymount/base/time.hpp>

namespace savorymount::tests
{

/// A moment `since_start` after the start of a test's history. The start is not the clock's zero,
/// so that a time that was never set differs from it.
inline base::time_point at(base::duration since_start)
{
    return base::time_point(std::chrono::seconds(100)) + since_start;
}

} // namespace savorymount::tests
