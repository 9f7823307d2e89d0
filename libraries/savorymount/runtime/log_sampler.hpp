#pragma once

#include <savorymount/base/time.hpp>

#include <cstdint>
#include <string_view>

namespace savorymount::runtime
{

/// Chooses the requests whose lines are written when there are more than the log may hold. A
/// request id is chosen or not on every process that has the same share, so that all its lines
/// are there or none.
class log_sampler
{
public:
    /// Zero means that every request is chosen.
    explicit log_sampler(double requests_per_second) : requests_per_second_(requests_per_second) {}

    /// Counts a request and tells whether its lines are written.
    bool keep(base::time_point now, std::string_view request);

    /// The share of the requests that are chosen, from 0 to 1. It follows the load of the last
    /// whole second.
    double share() const { return share_; }

private:
    void end_interval(base::time_point now);

    double requests_per_second_;
    double share_ = 1;
    base::time_point interval_from_{};
    std::uint64_t counted_ = 0;
};

} // namespace savorymount::runtime
