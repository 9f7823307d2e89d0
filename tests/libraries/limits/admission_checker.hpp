#pragma once

#include <savorymount/base/time.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace savorymount::tests
{

/// One admitted request.
struct admitted_request
{
    base::time_point at;
    /// Tokens used; the whole reservation while the request has not ended.
    std::uint64_t tokens = 0;
};

/// An interval in which more than burst + rate * length was admitted.
struct limit_violation
{
    base::time_point from;
    base::time_point to;
    double admitted = 0;
    double allowed = 0;
};

/// Finds the interval that exceeds burst + rate * length by most, if any.
inline std::optional<limit_violation>
find_limit_violation(std::vector<admitted_request> admitted_requests, double rate, double burst)
{
    std::stable_sort(admitted_requests.begin(), admitted_requests.end(),
                     [](auto const& left, auto const& right) { return left.at < right.at; });
    auto const seconds = [](base::time_point at)
    {
        return std::chrono::duration<double>(at.time_since_epoch()).count();
    };
    // Tolerance for floating point rounding of the sums, far below one token.
    constexpr double rounding = 1e-3;
    std::optional<limit_violation> worst;
    double worst_excess = rounding;
    double admitted = 0;
    // Minimum of (tokens admitted before) - rate * time over all starts so far.
    double min_start = 0;
    double admitted_before_min = 0;
    base::time_point min_start_at;
    bool first = true;
    for (auto const& it : admitted_requests)
    {
        auto const start = admitted - rate * seconds(it.at);
        if (first || start < min_start)
        {
            min_start = start;
            admitted_before_min = admitted;
            min_start_at = it.at;
            first = false;
        }
        admitted += static_cast<double>(it.tokens);
        auto const excess = admitted - rate * seconds(it.at) - min_start - burst;
        if (excess <= worst_excess)
            continue;
        worst_excess = excess;
        auto const length = seconds(it.at) - seconds(min_start_at);
        worst = limit_violation{min_start_at, it.at, admitted - admitted_before_min,
                                burst + rate * length};
    }
    return worst;
}

} // namespace savorymount::tests
