#pragma once

#include <savorymount/base/time.hpp>

#include <cstdint>
#include <deque>

namespace savorymount::retries
{

/// Limit on the retries of requests to one service by all instances together.
struct retry_quota_options
{
    /// Retries allowed per request.
    double ratio = 0.2;
    /// Retries allowed per window in addition, whatever the number of requests.
    double slack = 50;
    base::duration window = std::chrono::seconds(10);

    bool operator==(retry_quota_options const&) const = default;
};

/// This instance's part of a service's retry limit: the ratio of its own requests plus an equal
/// share of the slack. The instances stay within the limit together without exchanging messages.
class retry_quota
{
public:
    explicit retry_quota(retry_quota_options const& options) : options_(options) {}

    void set_options(retry_quota_options const& options) { options_ = options; }
    /// Sets the number of instances that share the slack.
    void set_instance_count(std::size_t instance_count) { instance_count_ = instance_count; }

    /// Records the arrival of a client's request for the service.
    void record_request(base::time_point now);

    /// Spends one retry; false if none is left in the window.
    bool try_spend(base::time_point now);

    /// Returns a retry that was spent but never sent.
    void refund();

    /// Number of retries that may be sent now.
    double available(base::time_point now);

private:
    void remove_expired(base::time_point now);

    retry_quota_options options_;
    std::size_t instance_count_ = 1;
    std::deque<base::time_point> requests_;
    std::deque<base::time_point> retries_;
};

} // namespace savorymount::retries
