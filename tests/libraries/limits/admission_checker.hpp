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
    constexpr double rounding_tolerance = 1e-3;
    std::optional<limit_violation> largest_violation;
    double largest_excess = rounding_tolerance;
    double admitted = 0;
    // Minimum of (tokens admitted before) - rate * time over all starts so far.
    double min_balance = 0;
    double admitted_before_min = 0;
    base::time_point min_balance_at;
    bool first = true;
    for (auto const& it : admitted_requests)
    {
        auto const balance = admitted - rate * seconds(it.at);
        if (first || balance < min_balance)
        {
            min_balance = balance;
            admitted_before_min = admitted;
            min_balance_at = it.at;
            first = false;
        }
        admitted += static_cast<double>(it.tokens);
        auto const excess = admitted - rate * seconds(it.at) - min_balance - burst;
        if (excess <= largest_excess)
            continue;
        largest_excess = excess;
        auto const length = seconds(it.at) - seconds(min_balance_at);
        largest_violation = limit_violation{min_balance_at, it.at, admitted - admitted_before_min,
                                            burst + rate * length};
    }
    return largest_violation;
}

} // namespace savorymount::tests
