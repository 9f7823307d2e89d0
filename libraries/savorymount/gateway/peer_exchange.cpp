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
                             fleet_view& view, exchange_hooks hooks)
    : timers_(timers), view_(view), hooks_(std::move(hooks)),
      socket_(loop, [this](std::string_view bytes) { receive(bytes); })
{
}

std::optional<runtime::network_address> peer_exchange::start(base::error& reason)
{
    auto const& wanted = view_.settings().peer_listen;
    auto const port = socket_.bind(wanted, reason);
    if (!port)
        return std::nullopt;
    timer_ = timers_.every(tick_interval,
                           [this]
                           {
                               view_.tick(timers_.now());
                               tell_all();
                           });
    address_ = {wanted.host, *port};
    return address_;
}

void peer_exchange::take_members(std::vector<member_record> const& members)
{
    auto const now = timers_.now();
    for (auto const& it : members)
        view_.roster().register_peer(now, it.instance, it.incarnation, it.address);
}

void peer_exchange::tell_all()
{
    auto const now = timers_.now();
    if (now - told_at_ < membership::report_interval(view_.roster().instance_count()))
        return;
    told_at_ = now;
    send(view_.make_report(now, ++sequence_, false));
}

void peer_exchange::tell_loads()
{
    send(view_.make_report(timers_.now(), ++sequence_, true));
}

void peer_exchange::tell_leaving()
{
    auto report = view_.make_report(timers_.now(), ++sequence_, false);
    report.leaving = true;
    // Told twice, since a datagram may be lost.
    send(report);
    send(std::move(report));
}

void peer_exchange::send(membership::peer_report report)
{
    report.address = to_string(address_);
    report.weight_loads = hooks_.loads(timers_.now());
    report.lease_offset = hooks_.duty_offset(timers_.now());
    auto const bytes = encode_peer_report(report);
    base::error ignored;
    for (auto const& [instance, peer] : view_.roster().peers())
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
        runtime::log(runtime::log_events::peer_rejected, {{"reason", "malformed report"}});
        return;
    }
    auto const now = timers_.now();
    view_.take_report(now, *report);
    if (report->lease_offset && report->instance != view_.settings().instance)
        hooks_.duty_told(now, *report->lease_offset);
}

} // namespace savorymount::gateway
