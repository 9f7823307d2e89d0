#include <savorymount/gateway/peer_exchange.hpp>
#include <savorymount/gateway/peer_report_codec.hpp>
#include <savorymount/runtime/log_events.hpp>

#include <utility>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration tick_interval = 50ms;

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
                                });
    address_ = {listen_address.host, *port};
    return address_;
}

void peer_exchange::update_members(std::vector<member_record> const& members)
{
    auto const now = timers_.now();
    for (auto const& it : members)
        cluster_.peer_table().register_peer(now, it.instance, it.incarnation, it.address);
}

void peer_exchange::send_periodic_report()
{
    auto const now = timers_.now();
    if (now - last_report_at_ < membership::report_interval(cluster_.peer_table().instance_count()))
        return;
    last_report_at_ = now;
    send(cluster_.make_report(now, ++sequence_, false));
}

void peer_exchange::send_partial_report()
{
    send(cluster_.make_report(timers_.now(), ++sequence_, true));
}

void peer_exchange::send_shutdown_report()
{
    auto report = cluster_.make_report(timers_.now(), ++sequence_, false);
    report.leaving = true;
    // Sent twice, since a datagram may be lost.
    send(report);
    send(std::move(report));
}

void peer_exchange::send(membership::peer_report report)
{
    report.address = to_string(address_);
    report.weight_loads = callbacks_.loads(timers_.now());
    report.lease_offset = callbacks_.leader_lease_offset(timers_.now());
    auto const bytes = encode_peer_report(report);
    base::error ignored;
    for (auto const& [instance, peer] : cluster_.peer_table().peers())
    {
        auto const address = runtime::parse_address("peer", peer.address, ignored);
        if (address)
            socket_.send(*address, bytes);
    }
}

void peer_exchange::receive(std::string_view bytes)
{
    auto const report = decode_peer_report(bytes);
    if (!report)
    {
        runtime::log(runtime::log_events::peer_rejected,
                     {{"reason", "the peer report is malformed"}});
        return;
    }
    auto const now = timers_.now();
    cluster_.apply_report(now, *report);
    if (report->lease_offset && report->instance != cluster_.settings().instance)
        callbacks_.leader_reported(now, *report->lease_offset);
}

} // namespace savorymount::gateway
