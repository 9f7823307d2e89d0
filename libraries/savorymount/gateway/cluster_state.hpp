#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/configuration/deployment.hpp>
#include <savorymount/gateway/gateway_settings.hpp>
#include <savorymount/gateway/route_history.hpp>
#include <savorymount/limits/shared_bucket.hpp>
#include <savorymount/limits/upstream_limits.hpp>
#include <savorymount/membership/peer_report.hpp>
#include <savorymount/membership/peer_table.hpp>
#include <savorymount/orders/desired_weights.hpp>
#include <savorymount/orders/leader_watch.hpp>
#include <savorymount/orders/version_claims.hpp>
#include <savorymount/retries/crash_attribution.hpp>
#include <savorymount/retries/crash_quarantine.hpp>
#include <savorymount/retries/retry_quota.hpp>
#include <savorymount/routing/part_locations.hpp>
#include <savorymount/routing/upstream_table.hpp>
#include <savorymount/streams/stream_origins.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace savorymount::gateway
{

/// What this instance knows of the configuration, the upstreams, the other instances and the rate
/// limits. It opens no socket and reads no clock.
class cluster_state
{
public:
    /// After a pause of the process, what arrived meanwhile is handled within this time.
    static constexpr base::duration time_to_catch_up = std::chrono::milliseconds(100);

    cluster_state(gateway_settings const& settings, base::time_point now);

    /// Applies a configuration if it is newer than the current one. Returns whether it did.
    bool apply_deployment(base::time_point now, configuration::deployment data);

    /// Null until a deployment is known.
    std::shared_ptr<configuration::deployment_index const> const& deployment() const
    {
        return deployment_;
    }

    /// The platform's list of upstreams gained, updated or lost an entry.
    void upstream_listed(base::time_point now, membership::upstream_record record);
    /// `unreadable_at` is set if the entry went in an outage, so that the upstream may still run
    /// and be listed again; it is the last time at which the list was found to be unreadable.
    void upstream_unlisted(base::time_point now, std::string const& id,
                           std::optional<base::time_point> unreadable_at = std::nullopt);
    routing::upstream_table& upstreams() { return upstreams_; }
    routing::upstream_table const& upstreams() const { return upstreams_; }
    routing::part_locations& part_locations() { return part_locations_; }
    /// Operators published a weight version, not before `not_before`. If that is unknown, the
    /// version may be older than the instance.
    void set_desired_version(std::string const& model, std::uint64_t version,
                             std::optional<base::time_point> not_before);
    /// The system's own records show these weight versions; operators published them at some time.
    void stored_versions_read(std::map<std::string, std::uint64_t> const& versions);
    /// An upstream answered with this version of a model. It counts as published when a second
    /// upstream has it: a single answer may be wrong.
    void weights_observed(std::string const& upstream, std::string const& model,
                          std::uint64_t version);
    /// Sets a callback for a newer weight version that became known from elsewhere than the
    /// operators' record.
    void
    on_version_found(std::function<void(std::string const& model, std::uint64_t version)> callback)
    {
        version_found_callback_ = std::move(callback);
    }
    orders::desired_weights const& desired_weights() { return desired_weights_; }
    /// The oldest weight version of the model whose cached parts may be fetched from the engines
    /// that keep the version, and from the cache store; empty if this instance can't tell.
    std::optional<std::uint64_t> oldest_shared_version(base::time_point now,
                                                       std::string const& model) const;
    /// Whether parts of this weight version may be fetched from the engine.
    bool may_fetch_parts(base::time_point now, std::string const& engine, std::string const& model,
                         std::uint64_t version) const;
    /// Whether this instance leads, and orders the engines to load weights.
    void set_leading(base::time_point now, bool leads);
    /// An engine was ordered to load the version; the outcome is not known.
    void load_ordered(std::string const& upstream, std::string const& model, std::uint64_t version)
    {
        upstreams_.load_ordered(upstream, model, version);
    }
    membership::peer_table& peer_table() { return peer_table_; }
    retries::crash_quarantine& quarantine() { return quarantine_; }
    retries::crash_attribution& crash_attribution() { return crash_attribution_; }
    streams::stream_origins& stream_origins() { return stream_origins_; }
    gateway::route_history const& route_history() const { return route_history_; }
    limits::upstream_limits& upstream_limits() { return upstream_limits_; }
    /// An upstream responded to a request that was sent at `sent_at`; `limit` is empty if the
    /// response names none.
    void limit_observed(base::time_point now, base::time_point sent_at,
                        membership::upstream_record const& upstream, std::optional<double> limit);
    /// A request is sent to the upstream.
    void request_sent(base::time_point now, membership::upstream_record const& upstream,
                      routing::request_size const& size);
    /// The last request that was sent did not reach the upstream after all.
    void request_not_sent(membership::upstream_record const& upstream);
    /// The store's list of the instances was read and applied to the peer table.
    void members_read() { members_known_ = true; }
    retries::retry_quota& retry_quota(std::string const& service);

    /// Null for a workspace that is not in the configuration.
    limits::shared_bucket* bucket(std::string const& workspace);

    void store_responded(base::time_point now) { store_responded_at_ = now; }
    /// Every change of the configuration before `complete_until` was applied.
    void configuration_read(base::time_point complete_until)
    {
        configuration_complete_until_ = complete_until;
    }
    /// The time until which every change of the configuration is known; empty if that is unknown.
    std::optional<base::time_point> configuration_complete_until() const
    {
        return configuration_complete_until_;
    }
    /// The store came back from an older copy. Until operators have written again what it lacks, it
    /// does not show that something does not exist, nor that an upstream has left.
    void store_restored(base::time_point now);
    /// Whether the configuration is known up to a time that is recent enough to answer that
    /// something does not exist.
    bool configuration_is_fresh(base::time_point now) const;
    /// The process started from a store that shows an older configuration than the one in force at
    /// other instances, as a store does that came back from an older copy.
    bool started_on_outdated_configuration(base::time_point now) const;
    /// Time since the store last responded; empty if it never did.
    std::optional<base::duration> store_age(base::time_point now) const;

    void set_cache_store_reachable(bool reachable) { cache_store_reachable_ = reachable; }
    bool cache_store_reachable() const { return cache_store_reachable_; }

    /// An upstream's connection broke while it executed a request of this instance.
    void upstream_crashed(base::time_point now, std::string const& digest,
                          std::string const& upstream);
    /// The same for the request's shared prompt parts.
    void upstream_lost(base::time_point now, retries::upstream_loss loss);

    /// A request with these prompt parts was sent to an engine. The last part is specific to the
    /// request, the others may be shared.
    void record_sent_parts(base::time_point now, std::vector<std::uint64_t> const& digests,
                           std::string const& engine);

    /// Applies a report of another instance. Returns false if it is not newer than what is known.
    bool apply_report(base::time_point now, membership::peer_report const& report);

    /// The report of this instance to the others; the caller adds the weight loads. A partial
    /// report has only crashes.
    membership::peer_report make_report(base::time_point now, std::uint64_t sequence, bool partial);

    /// Notes that the process runs. After a longer pause, for example a suspended machine, what it
    /// knew of its peers no longer permits anything. Call it before a decision that depends on
    /// them.
    void observe_time(base::time_point now);
    /// The earliest time at which data that the process handles at `now` can have arrived: what
    /// arrived during such a pause is handled after it. Pauses below a second are not noticed.
    base::time_point earliest_arrival(base::time_point now) const;
    /// When the process ran again after the last such pause; empty if there was none.
    std::optional<base::time_point> resumed_at() const { return resumed_at_; }
    /// Sets a callback for the end of each such pause.
    void on_resumed(std::function<void(base::duration pause)> callback)
    {
        resumed_callback_ = std::move(callback);
    }

    /// Expires old entries and updates the shares that depend on the number of instances.
    void tick(base::time_point now);

    /// Interval between two reads of the list of upstreams.
    base::duration upstream_poll_interval() const;

    gateway_settings const& settings() const { return settings_; }
    void set_settings(base::time_point now, gateway_settings settings);

private:
    /// Another instance has a newer configuration.
    bool lags_behind_others() const;
    /// Whether what operators wrote to the store is known up to a time that is recent enough to
    /// tell that there is nothing newer.
    bool knows_operators_records(base::time_point now) const;
    /// Whether the upstream's current entry in the list belongs to the process.
    bool is_listed(std::string const& process) const;
    /// Notes that the software version with which the upstream is listed serves until now.
    void note_version_of(base::time_point now, std::string const& id);
    /// A version was published at an unknown time before now.
    void version_found(std::string const& model, std::uint64_t version,
                       std::optional<base::time_point> not_before);
    /// Whether the upstream is listed for a service that is in use.
    bool is_in_use(std::string const& upstream) const;
    /// An upstream loads this version by order of another instance.
    void load_reported(std::string const& upstream, std::string const& model,
                       std::uint64_t version);
    void apply_weight_loads(base::time_point now, membership::peer_report const& report);
    /// Whether the reports of the leader arrive, which name each order.
    bool knows_orders(base::time_point now) const;
    base::time_point publication_bound(std::optional<base::time_point> not_before) const;
    /// Notes at which services the streams that may still run can have begun, and until when.
    void observe_routes(base::time_point now);
    /// Notes the software and weight versions of all upstreams in the list.
    void observe_versions(base::time_point now);
    /// Lets placement know when the upstream's process takes the next request of this instance.
    void apply_limit(std::string const& process);
    void update_limit_shares(base::time_point now);
    void apply_notices(base::time_point now, membership::peer_report const& report);
    void apply_full_report(base::time_point now, membership::peer_report const& report);

    gateway_settings settings_;
    base::time_point started_at_;
    std::shared_ptr<configuration::deployment_index const> deployment_;
    routing::upstream_table upstreams_;
    routing::part_locations part_locations_;
    orders::desired_weights desired_weights_;
    orders::version_claims version_claims_;
    orders::leader_watch leader_watch_;
    membership::peer_table peer_table_;
    retries::crash_quarantine quarantine_;
    retries::crash_attribution crash_attribution_;
    limits::upstream_limits upstream_limits_;
    streams::stream_origins stream_origins_;
    gateway::route_history route_history_;
    std::function<void(std::string const& model, std::uint64_t version)> version_found_callback_;
    base::time_point versions_observed_at_{};
    bool members_known_ = false;
    /// The state of the peer table from which the shares of limits follow.
    std::optional<std::uint64_t> limit_shares_of_;
    std::map<std::string, retries::retry_quota> retry_quotas_;
    std::map<std::string, limits::shared_bucket> buckets_;
    /// When the process last made a decision; see `observe_time`.
    std::optional<base::time_point> last_run_at_;
    std::optional<base::time_point> resumed_at_;
    /// When it ran for the last time before that pause.
    base::time_point paused_at_{};
    std::function<void(base::duration pause)> resumed_callback_;
    std::optional<base::time_point> store_responded_at_;
    std::optional<base::time_point> configuration_complete_until_;
    std::optional<base::time_point> store_restored_at_;
    /// Newest version of the configuration that the store is known to hold.
    std::uint64_t stored_configuration_version_ = 0;
    /// Newest version in force at another instance.
    std::uint64_t reported_configuration_version_ = 0;
    bool cache_store_reachable_ = false;
    std::deque<std::pair<base::time_point, membership::crash_notice>> recent_crashes_;
    /// Digests of prompt parts that were sent to engines, by engine, for the next report.
    std::map<std::string, std::vector<std::uint64_t>> unreported_prefills_;
};

} // namespace savorymount::gateway
