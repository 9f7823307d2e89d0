#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/gateway/fleet_view.hpp>
#include <savorymount/gateway/platform_port.hpp>
#include <savorymount/membership/peer_report.hpp>
#include <savorymount/orders/leader_lease.hpp>
#include <savorymount/orders/weight_rollout.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <functional>
#include <string>
#include <vector>

namespace savorymount::gateway
{

struct duty_hooks
{
    /// An engine began to load; the others should hear of it at once.
    std::function<void()> loads_changed;
    /// The platform's store named the members of the deployment.
    std::function<void(std::vector<member_record> const&)> members;
    /// The duty came to this instance or left it.
    std::function<void(bool held)> duty_changed;
};

/// Takes part in the duty to order weight versions: competes for its lease and, while it holds it,
/// brings the engines to the newest versions.
class weights_duty
{
public:
    weights_duty(runtime::timer_service& timers, fleet_view& view, platform_port& port,
                 base::random_source& random, duty_hooks hooks);

    void start();
    /// Orders what is outstanding, if this process holds the duty.
    void advance();
    /// The process shuts down: it finishes what it has begun and takes the duty no more.
    void leave() { leaving_ = true; }
    /// Whether the engines have what they should, or the duty is another's.
    bool idle() const { return idle_; }
    /// Gives the duty up; `done` is called when that is recorded or has failed.
    void release(std::function<void()> done);

    /// Another instance holds the duty by the record at `offset`.
    void told(base::time_point now, std::uint64_t offset);
    /// The offset of the record by which this instance holds the duty.
    std::optional<std::uint64_t> held_offset(base::time_point now) const
    {
        return lease_.held_record_offset(now);
    }

    /// Engines that load by order of this instance.
    std::vector<membership::weight_load> loads(base::time_point now) const;

private:
    void read_duties_if_due();
    bool holder_is_heard(base::time_point now) const;
    void read_duties();
    void take_duties(duty_page const& page);
    void compete();
    void note_emptying(base::time_point now, std::vector<std::string> const& upstreams);
    void send_order(orders::weight_order const& order);
    void ask_report(std::string const& upstream);
    void note_order(orders::weight_order const& order, orders::order_outcome outcome);
    void note_holding(base::time_point now);
    std::vector<orders::rollout_engine> engines(base::time_point now) const;
    std::size_t loading_at_once(std::size_t engines) const;

    runtime::timer_service& timers_;
    fleet_view& view_;
    platform_port& port_;
    base::random_source& random_;
    duty_hooks hooks_;
    orders::leader_lease lease_;
    orders::weight_rollout rollout_;
    std::vector<membership::weight_load> loads_;
    /// When each entry of `loads_` ends.
    std::vector<base::time_point> load_ends_;
    /// Engines that get no new requests until they are ordered to load.
    std::vector<std::string> emptying_;
    std::optional<base::time_point> holder_heard_at_;
    base::time_point read_at_{};
    bool holding_ = false;
    bool leaving_ = false;
    bool releasing_ = false;
    bool idle_ = true;
    /// Fires when the next engine has loaded.
    runtime::timer_service::subscription loaded_timer_;
    runtime::timer_service::subscription read_timer_;
    runtime::timer_service::subscription advance_timer_;
};

} // namespace savorymount::gateway
