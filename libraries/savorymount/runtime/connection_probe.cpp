#include <savorymount/runtime/connection_probe.hpp>

#include <event2/bufferevent.h>
#include <event2/util.h>

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <utility>

namespace savorymount::runtime
{
namespace
{

constexpr base::duration max_probe_time = std::chrono::milliseconds(300);

} // namespace

connection_probe::connection_probe(event_loop& loop, timer_service& timers,
                                   network_address const& address,
                                   std::function<void(probe_result)> callback)
    : buffer_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)),
      callback_(std::move(callback))
{
    // A connection that fails at once would be reported before the constructor returns.
    bufferevent_setcb(buffer_, nullptr, nullptr, handle_event, this);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &name.sin_addr);
    timer_ = timers.after(max_probe_time, [this] { end(probe_result::unknown); });
    bufferevent_socket_connect(buffer_, reinterpret_cast<sockaddr*>(&name), sizeof(name));
}

connection_probe::~connection_probe()
{
    bufferevent_free(buffer_);
}

void connection_probe::handle_event(bufferevent*, short events, void* self)
{
    auto& probe = *static_cast<connection_probe*>(self);
    if ((events & BEV_EVENT_CONNECTED) != 0)
        probe.end(probe_result::listening);
    else
        probe.end(EVUTIL_SOCKET_ERROR() == ECONNREFUSED ? probe_result::refused
                                                        : probe_result::unknown);
}

void connection_probe::end(probe_result result)
{
    timer_ = {};
    // The callback may destroy this probe.
    if (auto const callback = std::exchange(callback_, nullptr))
        callback(result);
}

} // namespace savorymount::runtime
