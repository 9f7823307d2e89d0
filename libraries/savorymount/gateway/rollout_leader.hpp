#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/gateway/cluster_state.hpp>
#include <savorymount/gateway/platform_adapter.hpp>
#include <savorymount/membership/peer_report.hpp>
#include <savorymount/orders/leader_lease.hpp>
#include <savorymount/orders/stored_versions.hpp>
#include <savorymount/orders/weight_rollout.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace savorymount::gateway
{

struct rollout_leader_callbacks
{
    /// An engine started to drain or load; the peers should be informed immediately.
    std::function<void()> loads_changed;
    /// The announced instances were read from the platform's store.
    std::function<void(std::vector<member_record> const&)> members_read;
    /// Whether this instance reads the store for itself or its data centre. The others leave the
    /// leader lease to those that do, and seldom look for new instances.
    std::function<bool()> reads_store;
    /// This instance became the leader or lost the leadership.
    std::function<void(bool is_leader)> leadership_changed;
};

/// Rolls out new weight versions. One instance at a time is the leader: the one that holds the
/// leader lease. It orders the engines to load the newest versions; the others try to acquire the
/// lease when it expires.
class rollout_leader
{
public:
    rollout_leader(runtime::timer_service& timers, cluster_state& cluster,
                   platform_adapter& platform, base::random_source& random,
                   rollout_leader_callbacks callbacks);

    void start();
    /// Sends the orders that are due, if this instance is the leader.
    void advance();
    /// For a shutdown: finishes the loads in progress and does not acquire the lease again.
    void stop_competing() { stopping_ = true; }
    /// Whether no order or load is outstanding, or this instance is not the leader.
    bool idle() const { return idle_; }
    /// Releases the leader lease; `done` is called when the release is recorded or has failed.
    void release(std::function<void()> done);

    /// Another instance is the leader.
    void leader_reported(base::time_point now, membership::held_lease const& lease);
    /// The record of the lease if this instance is the leader.
    std::optional<membership::held_lease> held_lease(base::time_point now) const;

    /// Engines that drain or load by order of this instance.
    std::vector<membership::weight_load> loads(base::time_point now) const;

private:
    void read_membership_if_due();
    bool leader_reported_recently(base::time_point now) const;
    void read_membership();
    void handle_membership(membership_page const& page);
    /// Returns whether an append of the lease was sent.
    bool update_lease();
    /// Records the newest weight versions, if the topic's records lack them.
    void store_versions(std::uint64_t log_end);
    void read_membership_now();
    void update_draining_engines(base::time_point now, std::vector<std::string> const& upstreams);
    void send_order(orders::weight_order const& order);
    void request_engine_report(std::string const& upstream);
    void handle_missing_report(std::string const& upstream, base::error const& reason);
    void handle_order_outcome(orders::weight_order const& order, orders::order_outcome outcome);
    void update_leadership(base::time_point now);
    std::vector<orders::rollout_engine> engines(base::time_point now) const;
    std::size_t max_concurrent_loads(std::size_t engines) const;

    runtime::timer_service& timers_;
    cluster_state& cluster_;
    platform_adapter& platform_;
    base::random_source& random_;
    rollout_leader_callbacks callbacks_;
    orders::leader_lease lease_;
    orders::weight_rollout rollout_;
    orders::stored_versions stored_versions_;
    /// The newest versions for which the leader has read the topic, to record them.
    std::map<std::string, std::uint64_t> versions_to_store_;
    bool is_storing_version_ = false;
    bool is_reading_membership_ = false;
    std::vector<membership::weight_load> loads_;
    /// When each entry of `loads_` ends.
    std::vector<base::time_point> load_ends_;
    /// Engines that get no new requests until they are ordered to load.
    std::vector<std::string> draining_engines_;
    std::optional<base::time_point> leader_reported_at_;
    base::time_point membership_read_at_{};
    bool is_leader_ = false;
    bool stopping_ = false;
    bool releasing_ = false;
    bool idle_ = true;
    /// Fires when an engine has loaded.
    runtime::timer_service::subscription loaded_timer_;
    runtime::timer_service::subscription membership_timer_;
    runtime::timer_service::subscription advance_timer_;
};

} // namespace savorymount::gateway
