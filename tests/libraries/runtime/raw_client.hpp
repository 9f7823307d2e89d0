#pragma once

#include <savorymount/runtime/event_loop.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <arpa/inet.h>
#include <cstdint>
#include <functional>
#include <netinet/in.h>
#include <string>
#include <unistd.h>
#include <utility>

namespace savorymount::tests
{

/// A client that writes given bytes and collects what comes back.
class raw_client
{
public:
    raw_client(runtime::event_loop& loop, std::uint16_t port)
        : buffer_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(port);
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bufferevent_setcb(buffer_, read, nullptr, event, this);
        bufferevent_enable(buffer_, EV_READ | EV_WRITE);
        bufferevent_socket_connect(buffer_, reinterpret_cast<sockaddr*>(&name), sizeof(name));
    }

    ~raw_client()
    {
        if (buffer_ != nullptr)
            bufferevent_free(buffer_);
    }

    raw_client(raw_client const&) = delete;
    raw_client& operator=(raw_client const&) = delete;

    void send(std::string const& bytes) { bufferevent_write(buffer_, bytes.data(), bytes.size()); }
    /// Writes to the socket at once, without the loop.
    void write_now(std::string const& bytes)
    {
        [[maybe_unused]] auto const n =
            write(bufferevent_getfd(buffer_), bytes.data(), bytes.size());
    }
    void leave()
    {
        if (buffer_ != nullptr)
            bufferevent_free(std::exchange(buffer_, nullptr));
    }

    std::string received;
    bool connected = false;
    bool closed = false;
    /// Whether the connection was reset instead of closed in order.
    bool reset = false;
    std::function<void()> changed;

private:
    static void read(bufferevent* buffer, void* self)
    {
        auto& client = *static_cast<raw_client*>(self);
        std::string bytes(evbuffer_get_length(bufferevent_get_input(buffer)), '\0');
        bufferevent_read(buffer, bytes.data(), bytes.size());
        client.received += bytes;
        if (client.changed)
            client.changed();
    }

    static void event(bufferevent*, short what, void* self)
    {
        auto& client = *static_cast<raw_client*>(self);
        client.connected = client.connected || (what & BEV_EVENT_CONNECTED) != 0;
        client.closed = client.closed || (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
        client.reset = client.reset || (what & BEV_EVENT_ERROR) != 0;
        if (client.changed)
            client.changed();
    }

    bufferevent* buffer_;
};

} // namespace savorymount::tests
