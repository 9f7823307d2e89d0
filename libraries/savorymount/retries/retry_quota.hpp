#pragma once

#include <savorymount/base/time.hpp>

#include <cstdint>
#include <deque>

namespace savorymount::retries
{

/// Bounds on the repeated sends to one service over all instances together.
struct retry_quota_options
{
    /// Repeats allowed per request.
    double ratio = 0.2;
    /// Repeats allowed in each window whatever the number of requests.
    double slack = 50;
    base::duration window = std::chrono::seconds(10);

    bool operator==(retry_quota_options const&) const = default;
};

/// This instance's fixed part of a service's repeats: the ratio of its own requests and an equal
/// share of the slack. No message between instances is needed to keep the sum in bounds.
class retry_quota
{
public:
    explicit retry_quota(retry_quota_options const& options) : options_(options) {}

    void set_options(retry_quota_options const& options) { options_ = options; }
    /// Number of instances that share the slack.
    void set_instance_count(std::size_t instance_count) { instance_count_ = instance_count; }

    /// A client's request for the service arrived.
    void record_request(base::time_point now);

    /// Takes one repeat; false when none is left in the window.
    bool try_spend(base::time_point now);

    /// Gives back a repeat that was never sent.
    void refund();

    /// Repeats that may be sent now.
    double available(base::time_point now);

private:
    void remove_expired(base::time_point now);

    retry_quota_options options_;
    std::size_t instance_count_ = 1;
    std::deque<base::time_point> requests_;
    std::deque<base::time_point> retries_;
};

} // namespace savorymount::retries
