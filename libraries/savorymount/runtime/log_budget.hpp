#pragma once

#include <savorymount/base/time.hpp>

#include <cstdint>

namespace savorymount::runtime
{

/// Bounds the log lines per second. Lines about refusals and failures may use the whole budget,
/// all others only its upper half. Drops are counted, so that a line can tell of them.
class log_budget
{
public:
    /// Zero means no bound.
    explicit log_budget(double lines_per_second)
        : lines_per_second_(lines_per_second), level_(lines_per_second)
    {
    }

    /// Whether `lines` may be written now; all of them or none.
    bool admit(base::time_point now, bool important, std::uint64_t lines = 1);

    /// Counts lines that were not written for another reason.
    void left_out(std::uint64_t lines) { dropped_ += lines; }

    /// Lines dropped since the last call, at most once a second; zero when there is nothing to
    /// tell.
    std::uint64_t take_dropped(base::time_point now);

private:
    double lines_per_second_;
    double level_;
    base::time_point refilled_at_{};
    base::time_point told_at_{};
    std::uint64_t dropped_ = 0;
};

/// Whether a line of usual length can be written to `descriptor` without waiting for its reader.
bool takes_a_line(int descriptor);

} // namespace savorymount::runtime
