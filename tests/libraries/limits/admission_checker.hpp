#pragma once

#include <savorymount/base/time.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace savorymount::tests
{

/// One admitted request of the recorded history.
struct admitted_request
{
    base::time_point at;
    /// Tokens used in the end; the whole reservation if the end is not known.
    std::uint64_t tokens = 0;
};

/// An interval in which more was admitted than burst + rate * length.
struct broken_interval
{
    base::time_point from;
    base::time_point to;
    double admitted = 0;
    double allowed = 0;
};

/// Looks for the interval that exceeds burst + rate * length by most. Reads nothing but the
/// history.
inline std::optional<broken_interval> find_broken_interval(std::vector<admitted_request> history,
                                                           double rate, double burst)
{
    std::stable_sort(history.begin(), history.end(),
                     [](auto const& left, auto const& right) { return left.at < right.at; });
    auto const seconds = [](base::time_point at)
    {
        return std::chrono::duration<double>(at.time_since_epoch()).count();
    };
    // Absorbs rounding of the sums in floating point, far below one token.
    constexpr double rounding = 1e-3;
    std::optional<broken_interval> worst;
    double worst_excess = rounding;
    double admitted = 0;
    // Least of (tokens admitted before) - rate * time over all starts so far.
    double least = 0;
    double least_admitted = 0;
    base::time_point least_at;
    bool first = true;
    for (auto const& it : history)
    {
        auto const start = admitted - rate * seconds(it.at);
        if (first || start < least)
        {
            least = start;
            least_admitted = admitted;
            least_at = it.at;
            first = false;
        }
        admitted += static_cast<double>(it.tokens);
        auto const excess = admitted - rate * seconds(it.at) - least - burst;
        if (excess <= worst_excess)
            continue;
        worst_excess = excess;
        auto const length = seconds(it.at) - seconds(least_at);
        worst = broken_interval{least_at, it.at, admitted - least_admitted, burst + rate * length};
    }
    return worst;
}

} // namespace savorymount::tests
