#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/limits/usage_window.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace savorymount::limits
{

/// Rate and burst of one workspace over all instances together.
struct rate_limit
{
    /// Tokens per second; 0 means no limit.
    double rate = 0;
    double burst = 0;
    /// Length of the interval over which rate and burst are counted. 0 means every interval, which
    /// makes the limit a token bucket.
    base::duration window{};

    bool operator==(rate_limit const&) const = default;
};

/// Whether a request was admitted, and otherwise how long until it would be.
struct bucket_decision
{
    bool admitted = true;
    base::duration retry_after{};

    bool operator==(bucket_decision const&) const = default;
};

/// One instance's view of a workspace's token bucket.
///
/// Each instance keeps the whole bucket and debits what it admits and what the others report that
/// they admitted. Reports arrive late, so the level may fall below zero; it is then paid back
/// before anything else is admitted. For an instance whose reports stop, half of its fair share is
/// left, and an instance that hears of no other admits only that much.
///
/// With a window the workspace may use its rate and burst anywhere within each interval of that
/// length. While an instance is silent the bucket binds as well. What is left of the limit is
/// divided while the others can't have heard of each other's requests.
class shared_bucket
{
public:
    /// `initial_part` of the burst is there at once: a restarted instance does not know what was
    /// admitted before it.
    shared_bucket(base::time_point now, rate_limit const& limit, double initial_fraction);

    /// Applies a changed contract; the level never rises by it.
    void set_limit(base::time_point now, rate_limit const& limit);

    /// Number of instances that share the bucket, and how many of them are not heard of.
    void set_instances(base::time_point now, std::size_t instances, std::size_t silent);

    /// Takes `tokens` if the level allows it.
    bucket_decision admit(base::time_point now, double tokens);

    /// Gives back what was taken for a request that did not run.
    void refund(base::time_point now, double tokens);

    /// All tokens taken by this instance since it started, for the reports to the others.
    double admitted_total() const { return admitted_total_; }

    /// The running total that another process reported. `incarnation` names that process, which
    /// started at `started`. What it admitted before this bucket existed is not debited.
    void apply_report(base::time_point now, std::string const& incarnation,
                      base::time_point process_started, double total);

    /// Tokens that may be used now; negative when too much was used.
    double level(base::time_point now);

private:
    void refill(base::time_point now);
    double instance_rate() const;
    double window_limit() const;
    bucket_decision check_window(base::time_point now, double tokens);
    bool within_own_share(base::time_point now, double remaining, double tokens);
    bucket_decision check_bucket(double tokens) const;
    void debit(base::time_point now, double tokens);

    rate_limit limit_;
    usage_window usage_;
    /// What this instance admitted within the window, and since the others heard of it.
    usage_window own_usage_;
    usage_window unreported_;
    double level_;
    base::time_point created_at_;
    base::time_point refilled_at_;
    std::size_t instances_ = 1;
    std::size_t silent_ = 0;
    double admitted_total_ = 0;
    std::unordered_map<std::string, double> last_totals_;
};

} // namespace savorymount::limits
