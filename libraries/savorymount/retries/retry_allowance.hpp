#pragma once

#include <savorymount/base/time.hpp>

#include <cstdint>
#include <deque>

namespace savorymount::retries
{

/// Bounds on the repeated sends to one service over all instances together.
struct retry_bounds
{
    /// Repeats allowed per request.
    double ratio = 0.2;
    /// Repeats allowed in each window whatever the number of requests.
    double slack = 50;
    base::duration window = std::chrono::seconds(10);

    bool operator==(retry_bounds const&) const = default;
};

/// This instance's fixed part of a service's repeats: the ratio of its own requests and an equal
/// share of the slack. No message between instances is needed to keep the sum in bounds.
class retry_allowance
{
public:
    explicit retry_allowance(retry_bounds const& bounds) : bounds_(bounds) {}

    void set_bounds(retry_bounds const& bounds) { bounds_ = bounds; }
    /// Number of instances that share the slack.
    void set_instances(std::size_t instances) { instances_ = instances; }

    /// A client's request for the service arrived.
    void requested(base::time_point now);

    /// Takes one repeat; false when none is left in the window.
    bool try_spend(base::time_point now);

    /// Gives back a repeat that was never sent.
    void refund();

    /// Repeats that may be sent now.
    double available(base::time_point now);

private:
    void expire(base::time_point now);

    retry_bounds bounds_;
    std::size_t instances_ = 1;
    std::deque<base::time_point> requests_;
    std::deque<base::time_point> repeats_;
};

} // namespace savorymount::retries
