#include <savorymount/gateway/peer_exchange.hpp>
#include <savorymount/gateway/peer_report_codec.hpp>
#include <savorymount/runtime/log_events.hpp>

#include <utility>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration report_interval = 100ms;

} // namespace

peer_exchange::peer_exchange(runtime::event_loop& loop, runtime::timer_service& timers,
                             fleet_view& view, loads_source loads)
    : timers_(timers), view_(view), loads_(std::move(loads)),
      socket_(loop, [this](std::string_view bytes) { receive(bytes); })
{
}

std::optional<runtime::network_address> peer_exchange::start(base::error& reason)
{
    auto const& wanted = view_.settings().peer_listen;
    auto const port = socket_.bind(wanted, reason);
    if (!port)
        return std::nullopt;
    timer_ = timers_.every(report_interval,
                           [this]
                           {
                               view_.tick(timers_.now());
                               tell();
                           });
    address_ = {wanted.host, *port};
    return address_;
}

void peer_exchange::take_members(std::vector<member_record> const& members)
{
    auto const now = timers_.now();
    for (auto const& it : members)
        view_.roster().announced(now, it.instance, it.incarnation, it.address);
}

void peer_exchange::tell(bool leaving)
{
    auto const now = timers_.now();
    auto report = view_.make_report(now, ++sequence_);
    report.address = to_string(address_);
    report.leaving = leaving;
    report.loads = loads_(now);
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
    view_.take_report(timers_.now(), *report);
}

} // namespace savorymount::gateway
