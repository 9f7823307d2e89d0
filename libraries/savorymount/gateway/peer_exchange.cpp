#include <savorymount/gateway/peer_exchange.hpp>
#include <savorymount/gateway/peer_report_codec.hpp>
#include <savorymount/runtime/log_events.hpp>
#include <savorymount/runtime/task_timer.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration tick_interval = 50ms;
// With many engines that load, reports of each change would fill the links of relays.
constexpr base::duration min_partial_interval = 200ms;
// Keeps a datagram of relayed reports well below the largest size of a datagram.
constexpr std::size_t max_reports_per_datagram = 12;

/// Leaves out addresses that are not `IP:port`; they come from other instances and the store.
std::vector<runtime::network_address> parse_addresses(std::vector<std::string> const& texts)
{
    std::vector<runtime::network_address> out;
    base::error ignored;
    for (auto const& it : texts)
    {
        if (auto const address = runtime::parse_address("peer", it, ignored))
            out.push_back(*address);
    }
    return out;
}

} // namespace

peer_exchange::peer_exchange(runtime::event_loop& loop, runtime::timer_service& timers,
                             cluster_state& cluster, peer_exchange_callbacks callbacks)
    : timers_(timers), cluster_(cluster), callbacks_(std::move(callbacks)),
      socket_(loop, [this](std::string_view bytes) { receive(bytes); })
{
}

std::optional<runtime::network_address> peer_exchange::start(base::error& reason)
{
    auto const& listen_address = cluster_.settings().peer_listen;
    auto const port = socket_.bind(listen_address, reason);
    if (!port)
        return std::nullopt;
    tick_timer_ = timers_.every(tick_interval,
                                [this]
                                {
                                    cluster_.tick(timers_.now());
                                    send_periodic_report();
                                    if (partial_report_due_)
                                        send_partial_report();
                                });
    address_ = {listen_address.host, *port};
    return address_;
}

void peer_exchange::update_members(std::vector<member_record> const& members)
{
    auto const now = timers_.now();
    for (auto const& it : members)
        cluster_.peer_table().register_peer(now, it.instance, it.incarnation, it.address,
                                            it.data_centre);
    cluster_.members_read();
    update_routes(now);
}

void peer_exchange::update_routes(base::time_point now)
{
    auto routes = membership::find_report_routes(now, cluster_.peer_table());
    if (routes == routes_)
        return;
    bool const was_relay = routes_.local_is_relay;
    routes_ = std::move(routes);
    neighbours_ = parse_addresses(routes_.neighbours);
    remote_relays_ = parse_addresses(routes_.remote_relays);
    if (routes_.local_is_relay == was_relay)
        return;
    relay_buffer_.clear();
    runtime::log(routes_.local_is_relay ? runtime::log_events::relay_started
                                        : runtime::log_events::relay_ended,
                 {{"data_centre", cluster_.settings().data_centre}});
}

void peer_exchange::send_periodic_report()
{
    auto const now = timers_.now();
    if (now - last_report_at_ >= cluster_.peer_table().local_report_interval())
    {
        last_report_at_ = now;
        update_routes(now);
        auto report = cluster_.make_report(now, ++sequence_, false);
        complete(report);
        if (routes_.local_is_relay)
            relay_buffer_.record(report);
        send_to(neighbours_, encode_peer_report(report));
    }
    if (routes_.local_is_relay && now - last_relay_at_ >= membership::relay_interval)
        send_relayed_reports(now);
}

void peer_exchange::send_relayed_reports(base::time_point now)
{
    last_relay_at_ = now;
    auto reports = relay_buffer_.take();
    for (std::size_t first = 0; first < reports.size(); first += max_reports_per_datagram)
    {
        auto const last = std::min(first + max_reports_per_datagram, reports.size());
        auto datagram = cluster_.make_report(now, ++sequence_, true);
        complete(datagram);
        for (std::size_t i = first; i < last; ++i)
            datagram.relayed.push_back(std::move(reports[i]));
        send_to(remote_relays_, encode_peer_report(datagram));
    }
}

void peer_exchange::send_partial_report()
{
    auto const now = timers_.now();
    partial_report_due_ = routes_.uses_relays && now - last_partial_at_ < min_partial_interval;
    if (partial_report_due_)
        return;
    last_partial_at_ = now;
    broadcast(cluster_.make_report(timers_.now(), ++sequence_, true));
}

void peer_exchange::send_store_update(membership::store_update update)
{
    if (!routes_.local_is_relay)
        return;
    auto report = cluster_.make_report(timers_.now(), ++sequence_, true);
    complete(report);
    report.store_updates.push_back(std::move(update));
    send_to(neighbours_, encode_peer_report(report));
}

void peer_exchange::send_shutdown_report()
{
    auto report = cluster_.make_report(timers_.now(), ++sequence_, false);
    report.leaving = true;
    // Sent twice, since a datagram may be lost.
    broadcast(report);
    broadcast(std::move(report));
}

void peer_exchange::broadcast(membership::peer_report report)
{
    complete(report);
    auto const bytes = encode_peer_report(report);
    send_to(neighbours_, bytes);
    send_to(remote_relays_, bytes);
}

void peer_exchange::complete(membership::peer_report& report) const
{
    report.address = to_string(address_);
    report.weight_loads = callbacks_.loads(timers_.now());
    report.lease = callbacks_.held_lease(timers_.now());
}

void peer_exchange::send_to(std::vector<runtime::network_address> const& receivers,
                            std::string_view bytes) const
{
    for (auto const& it : receivers)
        socket_.send(it, bytes);
}

void peer_exchange::receive(std::string_view bytes)
{
    runtime::task_timer const timer("peer report");
    auto const report = decode_peer_report(bytes);
    if (!report)
    {
        runtime::log(runtime::log_events::peer_rejected,
                     {{"reason", "the peer report is malformed"}});
        return;
    }
    auto const now = timers_.now();
    bool const is_own = report->instance == cluster_.settings().instance;
    if (is_own || !cluster_.apply_report(now, *report))
        return;
    note_leader(now, *report);
    for (auto const& it : report->relayed)
    {
        if (cluster_.apply_report(now, it))
            note_leader(now, it);
    }
    bool const is_local = report->data_centre == cluster_.settings().data_centre;
    // The relay records what the others of its data centre tell.
    for (auto const& it : report->streams)
        cluster_.stream_origins().add(now, it, routes_.local_is_relay && is_local);
    if (is_local)
    {
        for (auto const& it : report->store_updates)
            callbacks_.store_updated(it);
    }
    if (!routes_.local_is_relay)
        return;
    if (is_local && report->leaving)
        relay_buffer_.forget(report->instance);
    else if (is_local)
        relay_buffer_.record(*report);
    else if (!is_local)
        send_to(neighbours_, bytes);
}

void peer_exchange::note_leader(base::time_point now, membership::peer_report const& report)
{
    if (report.lease)
        callbacks_.leader_reported(now, *report.lease);
}

} // namespace savorymount::gateway
