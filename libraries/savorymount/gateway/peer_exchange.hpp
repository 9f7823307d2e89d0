#pragma once

#include <savorymount/gateway/cluster_state.hpp>
#include <savorymount/gateway/platform_adapter.hpp>
#include <savorymount/membership/peer_report.hpp>
#include <savorymount/membership/relay_buffer.hpp>
#include <savorymount/membership/report_routes.hpp>
#include <savorymount/runtime/datagram_socket.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <functional>
#include <string_view>
#include <vector>

namespace savorymount::gateway
{

/// Callbacks from the exchange of peer reports to the rollout leader.
struct peer_exchange_callbacks
{
    /// Engines that drain or load by order of this instance.
    std::function<std::vector<membership::weight_load>(base::time_point)> loads;
    /// The record of the lease if this instance is the leader.
    std::function<std::optional<membership::held_lease>(base::time_point)> held_lease;
    /// Another instance reported that it is the leader.
    std::function<void(base::time_point, membership::held_lease const&)> leader_reported;
    /// The relay of the data centre read the platform's store.
    std::function<void(membership::store_update const&)> store_updated;
};

/// Exchanges reports with the other instances over UDP, in a large deployment through one relay
/// for each data centre (see `membership::report_routes`).
class peer_exchange
{
public:
    peer_exchange(runtime::event_loop& loop, runtime::timer_service& timers, cluster_state& cluster,
                  peer_exchange_callbacks callbacks);

    /// Opens the socket and returns its address.
    std::optional<runtime::network_address> start(base::error& reason);

    /// Registers the instances that are announced in the platform's store.
    void update_members(std::vector<member_record> const& members);

    /// Sends a partial report with weight loads and crashes, immediately or soon.
    void send_partial_report();
    /// Passes on what this instance read from the platform's store, if it is the relay.
    void send_store_update(membership::store_update update);
    /// Whether this instance reads the platform's store for its data centre or only for itself.
    /// False if another one does.
    bool reads_store() const { return !routes_.uses_relays || routes_.local_is_relay; }
    /// Sends the final report, which marks this instance as leaving.
    void send_shutdown_report();

private:
    void send_periodic_report();
    void complete(membership::peer_report& report) const;
    void update_routes(base::time_point now);
    void send_relayed_reports(base::time_point now);
    /// Sends to the neighbours, and to the relays of the other data centres.
    void broadcast(membership::peer_report report);
    void send_to(std::vector<runtime::network_address> const& receivers,
                 std::string_view bytes) const;
    void receive(std::string_view bytes);
    void note_leader(base::time_point now, membership::peer_report const& report);

    runtime::timer_service& timers_;
    cluster_state& cluster_;
    peer_exchange_callbacks callbacks_;
    runtime::datagram_socket socket_;
    runtime::network_address address_;
    std::uint64_t sequence_ = 0;
    base::time_point last_report_at_{};
    base::time_point last_relay_at_{};
    base::time_point last_partial_at_{};
    /// A partial report was put off.
    bool partial_report_due_ = false;
    membership::report_routes routes_;
    /// The addresses of `routes_`, parsed.
    std::vector<runtime::network_address> neighbours_;
    std::vector<runtime::network_address> remote_relays_;
    membership::relay_buffer relay_buffer_;
    runtime::timer_service::subscription tick_timer_;
};

} // namespace savorymount::gateway
