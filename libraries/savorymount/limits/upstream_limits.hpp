#pragma once

#include <savorymount/base/time.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace savorymount::limits
{

/// What an instance learned of a limit from a response.
struct upstream_limit_notice
{
    /// Name of the upstream's process.
    std::string upstream;
    /// Requests a second from all instances together; empty if the upstream names no limit any
    /// more.
    std::optional<double> limit;

    bool operator==(upstream_limit_notice const&) const = default;
};

struct upstream_limits_options
{
    /// How long an instance tells the others what it learned from a response.
    base::duration report_time = std::chrono::seconds(3);
    /// How long it is known that a limit ended, so that late notices do not renew it.
    base::duration ended_memory = std::chrono::seconds(10);
    /// Requests a second to an upstream that takes none: they show when the limit ends.
    double min_rate = 0.1;
};

/// The part of an upstream's limit, in requests a second, that the instance may use. `instances`
/// are all known ones, this one included.
///
/// An instance with a part sends its first request at once, whatever its part is. So the number of
/// instances that share a small limit is bounded: all instances choose the same ones by rendezvous
/// hashing, and the others send the upstream nothing.
double share_of_limit(std::string const& upstream, double limit, std::string const& instance,
                      std::vector<std::string> const& instances);

/// The limits that upstreams name in their responses, and when this instance may send the next
/// request: the requests a second that an upstream takes from all instances together, as long as it
/// names the limit. Upstreams are given by the names of their processes, since a limit ends with
/// the process that named it.
class upstream_limits
{
public:
    explicit upstream_limits(std::string instance, upstream_limits_options const& options = {})
        : instance_(std::move(instance)), options_(options)
    {
    }

    /// Records a response to a request that was sent at `sent_at`; `limit` is empty if the response
    /// names none.
    void record_response(base::time_point now, base::time_point sent_at,
                         std::string const& upstream, std::optional<double> limit);
    /// Records what another instance learned. Its response was not later than `learned_at` if it
    /// named a limit, and not earlier if it named none.
    void apply_notice(base::time_point now, base::time_point learned_at,
                      upstream_limit_notice const& notice);
    /// Records that a request is sent to the upstream.
    void record_sent(base::time_point now, std::string const& upstream);
    /// The last request that was sent did not reach the upstream.
    void withdraw_sent(std::string const& upstream);

    /// Sets the names of all known instances, this one included. Until it is called, nothing is
    /// sent to an upstream with a limit.
    void set_instances(std::vector<std::string> instances);
    /// The process did not run for a while; the others may use its shares.
    void process_resumed(base::time_point now);
    void remove_expired(base::time_point now,
                        std::function<bool(std::string const& upstream)> const& is_listed);

    /// The limit in force in requests a second; empty if there is none.
    std::optional<double> limit_of(std::string const& upstream) const;
    /// When this instance may send the next request; empty if there is no limit, and
    /// `time_point::max()` if other instances use all of it.
    std::optional<base::time_point> next_request_at(std::string const& upstream) const;
    /// The processes with a limit, or whose limit ended lately.
    std::vector<std::string> upstreams() const;

    /// What responses showed to this instance lately, with its age, the newest first.
    std::vector<std::pair<base::duration, upstream_limit_notice>>
    reportable_notices(base::time_point now, std::size_t max_count) const;

    /// Calls back when a limit begins, changes or ends; `limit` is empty if it ends.
    void on_changed(
        std::function<void(std::string const& upstream, std::optional<double> limit)> callback)
    {
        changed_ = std::move(callback);
    }

private:
    /// What a response to this instance showed.
    struct observation
    {
        base::time_point observed_at{};
        /// When it held: the arrival of a limit, or the sending of a request whose response named
        /// none.
        base::time_point valid_at{};
        std::optional<double> limit;
    };

    struct entry
    {
        double limit = 0;
        /// When the newest response with a limit arrived, here or at another instance.
        base::time_point named_at{};
        /// When the newest request was sent whose response named no limit.
        std::optional<base::time_point> ended_at;
        std::optional<observation> last_observation;
        /// Requests a second that this instance may send.
        double share = 0;
        /// Since then the share accumulates: the last request, or when the limit became known.
        base::time_point last_sent_at{};
        base::time_point previously_sent_at{};

        bool in_force() const { return !ended_at || named_at >= *ended_at; }
    };

    void name_limit(base::time_point now, base::time_point named_at, std::string const& upstream,
                    double limit);
    void end_limit(base::time_point ended_at, std::string const& upstream);
    void update_share(std::string const& upstream, entry& it) const;
    void notify(std::string const& upstream, std::optional<double> limit) const;

    std::string instance_;
    upstream_limits_options options_;
    std::vector<std::string> instances_;
    std::map<std::string, entry> entries_;
    std::function<void(std::string const&, std::optional<double>)> changed_;
};

} // namespace savorymount::limits
