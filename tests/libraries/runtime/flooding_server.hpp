#pragma once

#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/settings_parser.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <cstdint>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <utility>

namespace savorymount::tests
{

/// An upstream in trouble on loopback: once a request has arrived, it sends a beginning and then
/// the same piece again and again until its peer closes the connection.
class flooding_server
{
public:
    /// With an interval, one piece is sent per interval; otherwise as fast as the peer reads.
    flooding_server(runtime::event_loop& loop, std::string beginning, std::string piece,
                    base::duration interval = {})
        : timers_(loop), beginning_(std::move(beginning)), piece_(std::move(piece)),
          interval_(interval)
    {
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener_ = evconnlistener_new_bind(loop.base(), accept, this, LEV_OPT_CLOSE_ON_FREE, 64,
                                            reinterpret_cast<sockaddr*>(&name), sizeof(name));
        socklen_t size = sizeof(name);
        getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&name), &size);
        address_ = {"127.0.0.1", ntohs(name.sin_port)};
    }

    ~flooding_server()
    {
        evconnlistener_free(listener_);
        for (auto const& it : connections_)
            bufferevent_free(it.first);
    }

    flooding_server(flooding_server const&) = delete;
    flooding_server& operator=(flooding_server const&) = delete;

    runtime::network_address const& address() const { return address_; }
    std::size_t open_connections() const { return connections_.size(); }
    std::size_t requests() const { return requests_; }

private:
    using timer = runtime::timer_service::subscription;

    static void accept(evconnlistener* listener, evutil_socket_t socket, sockaddr*, int, void* self)
    {
        auto* const buffer = bufferevent_socket_new(evconnlistener_get_base(listener), socket,
                                                    BEV_OPT_CLOSE_ON_FREE);
        static_cast<flooding_server*>(self)->connections_[buffer];
        bufferevent_setcb(buffer, read, nullptr, end, self);
        bufferevent_enable(buffer, EV_READ | EV_WRITE);
    }

    static void read(bufferevent* buffer, void* self)
    {
        auto& server = *static_cast<flooding_server*>(self);
        auto* const input = bufferevent_get_input(buffer);
        if (evbuffer_search(input, "\r\n\r\n", 4, nullptr).pos < 0)
            return;
        evbuffer_drain(input, evbuffer_get_length(input));
        ++server.requests_;
        bufferevent_write(buffer, server.beginning_.data(), server.beginning_.size());
        if (server.interval_ == base::duration::zero())
        {
            bufferevent_setcb(buffer, read, written, end, self);
            written(buffer, self);
        }
        else
            server.connections_[buffer] =
                server.timers_.every(server.interval_, [&server, buffer] { server.send(buffer); });
    }

    static void written(bufferevent* buffer, void* self)
    {
        auto& server = *static_cast<flooding_server*>(self);
        constexpr std::size_t bytes_at_once = std::size_t{32} * 1024;
        for (std::size_t n = 0; n < bytes_at_once; n += server.piece_.size())
            server.send(buffer);
    }

    void send(bufferevent* buffer) { bufferevent_write(buffer, piece_.data(), piece_.size()); }

    static void end(bufferevent* buffer, short, void* self)
    {
        static_cast<flooding_server*>(self)->connections_.erase(buffer);
        bufferevent_free(buffer);
    }

    runtime::timer_service timers_;
    std::string beginning_;
    std::string piece_;
    base::duration interval_;
    evconnlistener* listener_ = nullptr;
    runtime::network_address address_;
    std::map<bufferevent*, timer> connections_;
    std::size_t requests_ = 0;
};

} // namespace savorymount::tests
