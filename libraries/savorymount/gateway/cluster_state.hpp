#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/configuration/deployment.hpp>
#include <savorymount/gateway/gateway_settings.hpp>
#include <savorymount/limits/shared_bucket.hpp>
#include <savorymount/membership/peer_report.hpp>
#include <savorymount/membership/peer_roster.hpp>
#include <savorymount/orders/wanted_weights.hpp>
#include <savorymount/retries/crash_quarantine.hpp>
#include <savorymount/retries/retry_allowance.hpp>
#include <savorymount/routing/part_locations.hpp>
#include <savorymount/routing/upstream_table.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace savorymount::gateway
{

/// What this process believes of the deployment. It opens no socket and reads no clock.
class cluster_state
{
public:
    cluster_state(gateway_settings const& settings, base::time_point now);

    /// Takes a deployment into use unless a newer one is in force. Returns whether it did.
    bool apply_deployment(base::time_point now, configuration::deployment data);

    /// Null until a deployment is known.
    std::shared_ptr<configuration::deployment_index const> const& deployment() const
    {
        return deployment_;
    }

    /// The platform's list names an upstream, or no longer does.
    void upstream_listed(base::time_point now, membership::upstream_record record);
    void upstream_unlisted(base::time_point now, std::string const& id);
    routing::upstream_table& upstreams() { return upstreams_; }
    routing::upstream_table const& upstreams() const { return upstreams_; }
    routing::part_locations& part_locations() { return part_locations_; }
    /// Operators named a weight version. What is heard first may have been named long before.
    void set_desired_version(base::time_point now, std::string const& model, std::uint64_t version);
    orders::wanted_weights const& desired_weights() { return desired_weights_; }
    membership::peer_roster& peer_table() { return peer_table_; }
    retries::crash_quarantine& quarantine() { return quarantine_; }
    retries::retry_allowance& retry_quota(std::string const& service);

    /// Null for a workspace that the deployment does not name.
    limits::shared_bucket* bucket(std::string const& workspace);

    void store_answered(base::time_point now) { store_answered_at_ = now; }
    /// Whether the configuration was read so lately that it is in force everywhere.
    bool configuration_is_fresh(base::time_point now) const;
    /// Whether the store could not be read at some time in the last seconds.
    bool store_recently_failed(base::time_point now) const;
    void store_failed(base::time_point now) { store_failed_at_ = now; }
    std::optional<base::duration> store_age(base::time_point now) const;

    void set_cache_store_reachable(bool reachable) { cache_store_reachable_ = reachable; }
    bool cache_store_reachable() const { return cache_store_reachable_; }

    /// An upstream was lost while it ran a request of this instance.
    void upstream_crashed(base::time_point now, std::string const& digest,
                          std::string const& upstream);

    /// An engine was sent these parts of a prompt to read; the last one belongs to one request.
    void record_sent_parts(base::time_point now, std::vector<std::uint64_t> const& digests,
                           std::string const& engine);

    /// Applies what another instance tells.
    void apply_report(base::time_point now, membership::peer_report const& report);

    /// What this instance tells; `loads` are added by the holder of the duty.
    /// A partial report names only crashes.
    membership::peer_report make_report(base::time_point now, std::uint64_t sequence, bool partial);

    /// Lets what depends on time and on the number of instances follow.
    void tick(base::time_point now);

    /// Pause between two reads of the list of upstreams.
    base::duration upstream_poll_interval() const;

    gateway_settings const& settings() const { return settings_; }
    /// Takes changed settings into use.
    void set_settings(base::time_point now, gateway_settings settings);

private:
    void apply_full_report(base::time_point now, membership::peer_report const& report);

    gateway_settings settings_;
    base::time_point started_at_;
    std::shared_ptr<configuration::deployment_index const> deployment_;
    routing::upstream_table upstreams_;
    routing::part_locations part_locations_;
    orders::wanted_weights desired_weights_;
    membership::peer_roster peer_table_;
    retries::crash_quarantine quarantine_;
    std::map<std::string, retries::retry_allowance> retry_quotas_;
    std::map<std::string, limits::shared_bucket> buckets_;
    std::optional<base::time_point> store_answered_at_;
    std::optional<base::time_point> store_failed_at_;
    bool cache_store_reachable_ = false;
    std::deque<std::pair<base::time_point, membership::crash_notice>> recent_crashes_;
    /// Parts that the other instances have not been told of.
    std::map<std::string, std::vector<std::uint64_t>> unreported_prefills_;
};

} // namespace savorymount::gateway
