#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/gateway/cluster_state.hpp>
#include <savorymount/gateway/platform_adapter.hpp>
#include <savorymount/membership/peer_report.hpp>
#include <savorymount/orders/duty_lease.hpp>
#include <savorymount/orders/weight_rollout.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <functional>
#include <string>
#include <vector>

namespace savorymount::gateway
{

struct rollout_leader_hooks
{
    /// An engine began to load; the others should hear of it at once.
    std::function<void()> loads_changed;
    /// The platform's store named the members of the deployment.
    std::function<void(std::vector<member_record> const&)> members_read;
    /// The duty came to this instance or left it.
    std::function<void(bool held)> leadership_changed;
};

/// Takes part in the duty to order weight versions: competes for its lease and, while it holds it,
/// brings the engines to the newest versions.
class rollout_leader
{
public:
    rollout_leader(runtime::timer_service& timers, cluster_state& cluster,
                   platform_adapter& platform, base::random_source& random,
                   rollout_leader_hooks hooks);

    void start();
    /// Orders what is outstanding, if this process holds the duty.
    void advance();
    /// The process shuts down: it finishes what it has begun and takes the duty no more.
    void stop_competing() { stopping_ = true; }
    /// Whether the engines have what they should, or the duty is another's.
    bool idle() const { return idle_; }
    /// Gives the duty up; `done` is called when that is recorded or has failed.
    void release(std::function<void()> done);

    /// Another instance holds the duty by the record at `offset`.
    void leader_reported(base::time_point now, std::uint64_t offset);
    /// The offset of the record by which this instance holds the duty.
    std::optional<std::uint64_t> lease_offset(base::time_point now) const
    {
        return lease_.held_offset(now);
    }

    /// Engines that load by order of this instance.
    std::vector<membership::weight_load> loads(base::time_point now) const;

private:
    void read_membership_if_due();
    bool leader_is_heard(base::time_point now) const;
    void read_membership();
    void handle_membership(membership_page const& page);
    void update_lease();
    void update_draining_engines(base::time_point now, std::vector<std::string> const& upstreams);
    void send_order(orders::weight_order const& order);
    void request_engine_report(std::string const& upstream);
    void handle_order_outcome(orders::weight_order const& order, orders::order_outcome outcome);
    void update_leadership(base::time_point now);
    std::vector<orders::rollout_engine> engines(base::time_point now) const;
    std::size_t max_concurrent_loads(std::size_t engines) const;

    runtime::timer_service& timers_;
    cluster_state& cluster_;
    platform_adapter& platform_;
    base::random_source& random_;
    rollout_leader_hooks hooks_;
    orders::duty_lease lease_;
    orders::weight_rollout rollout_;
    std::vector<membership::weight_load> loads_;
    /// When each entry of `loads_` ends.
    std::vector<base::time_point> load_ends_;
    /// Engines that get no new requests until they are ordered to load.
    std::vector<std::string> draining_engines_;
    std::optional<base::time_point> leader_heard_at_;
    base::time_point membership_read_at_{};
    bool is_leader_ = false;
    bool stopping_ = false;
    bool releasing_ = false;
    bool idle_ = true;
    /// Fires when the next engine has loaded.
    runtime::timer_service::subscription loaded_timer_;
    runtime::timer_service::subscription membership_timer_;
    runtime::timer_service::subscription advance_timer_;
};

} // namespace savorymount::gateway
