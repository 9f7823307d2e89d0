#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/limits/usage_window.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace savorymount::limits
{

/// Rate limit of one workspace over all instances together.
struct rate_limit
{
    /// Tokens per second; 0 means no limit.
    double rate = 0;
    double burst = 0;
    /// Length of the sliding window in which at most rate * window + burst tokens are admitted. 0
    /// makes the limit a token bucket, which holds for intervals of any length.
    base::duration window{};
    /// Tokens by which all instances together may exceed the limit while reports are on the way.
    double overshoot = 0;

    bool operator==(rate_limit const&) const = default;
};

/// Whether a request was admitted, and if not, when to retry.
struct bucket_decision
{
    bool admitted = true;
    base::duration retry_after{};

    bool operator==(bucket_decision const&) const = default;
};

/// One instance's view of a workspace's token bucket.
///
/// Each instance keeps the whole bucket and debits what it admits and what other instances report.
/// Reports arrive late, so the level may become negative; nothing is admitted until it has been
/// refilled. Half of the fair share of each instance whose reports stopped is set aside, and an
/// instance that receives no reports at all admits only half of its own share.
///
/// With a window, the workspace may use its rate and burst at any time within each interval of that
/// length. While an instance is silent, the token bucket applies as well. With many instances, each
/// may admit only its share of the remaining limit while reports are under way.
class shared_bucket
{
public:
    /// The bucket starts with `initial_fraction` of the burst, since a restarted instance does not
    /// know what was admitted before.
    shared_bucket(base::time_point now, rate_limit const& limit, double initial_fraction);

    /// Applies a changed limit without adding tokens to the bucket.
    void set_limit(base::time_point now, rate_limit const& limit);

    /// Sets the number of instances that share the bucket, and how many of them send no reports.
    void set_instances(base::time_point now, std::size_t instances, std::size_t silent);

    /// Sets how many instances report directly to this one, itself included, and the time until a
    /// report has reached all instances.
    void set_reporting(std::size_t direct_instances, base::duration report_delay);

    /// The local process did not run for a while. What the other instances admitted meanwhile is
    /// unknown, so the bucket keeps only what a disconnected instance may use.
    void process_resumed(base::time_point now);

    /// Debits `tokens` if the limit allows it.
    bucket_decision admit(base::time_point now, double tokens);

    /// Returns the tokens of a request that did not run.
    void refund(base::time_point now, double tokens);

    /// Total tokens admitted by this instance since it started, for the reports to other instances.
    double admitted_total() const { return admitted_total_; }

    /// Applies the total that another process reported. `incarnation` identifies that process,
    /// which started at `process_started`. What it probably admitted before this bucket was created
    /// is not debited. `direct` tells that the process reports directly to this one.
    void apply_report(base::time_point now, std::string const& incarnation,
                      base::time_point process_started, double total, bool direct = true);

    /// Tokens available now; negative when too many were used.
    double level(base::time_point now);

private:
    void refill(base::time_point now);
    double instance_rate() const;
    double window_limit() const;
    bucket_decision check_window(base::time_point now, double tokens);
    bool within_local_share(base::time_point now, double remaining, double tokens);
    /// Tokens that the other instances may have admitted without a report so far.
    double expected_unseen(base::time_point now);
    bucket_decision check_bucket(double tokens) const;
    void debit(base::time_point now, double tokens);

    rate_limit limit_;
    usage_window usage_;
    /// What this instance admitted within the window, and what it admitted so recently that other
    /// instances may not have received a report.
    usage_window local_usage_;
    usage_window unreported_;
    /// What was admitted lately: by all other instances, and by the direct ones and this one.
    usage_window recent_others_;
    usage_window recent_direct_;
    std::size_t direct_instances_ = 1;
    base::duration report_delay_;
    double level_;
    base::time_point created_at_;
    base::time_point refilled_at_;
    std::size_t instances_ = 1;
    std::size_t silent_ = 0;
    double admitted_total_ = 0;
    std::unordered_map<std::string, double> last_totals_;
};

} // namespace savorymount::limits
