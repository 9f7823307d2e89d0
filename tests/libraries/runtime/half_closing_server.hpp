#pragma once

#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/settings_parser.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <event2/event.h>
#include <event2/listener.h>

#include <array>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace savorymount::tests
{

/// A server on loopback that answers a connection at once, whatever it is asked, and closes its
/// sending side. Later it resets the connection, or reads what the caller sends until the end.
class half_closing_server
{
public:
    enum class afterwards
    {
        reset,
        read
    };

    half_closing_server(runtime::event_loop& loop, std::string answer, afterwards then,
                        base::duration delay)
        : base_(loop.base()), timers_(loop), answer_(std::move(answer)), then_(then), delay_(delay)
    {
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener_ = evconnlistener_new_bind(base_, accept, this, LEV_OPT_CLOSE_ON_FREE, 8,
                                            reinterpret_cast<sockaddr*>(&name), sizeof(name));
        socklen_t size = sizeof(name);
        getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&name), &size);
        address_ = {"127.0.0.1", ntohs(name.sin_port)};
    }

    ~half_closing_server()
    {
        evconnlistener_free(listener_);
        end();
    }

    half_closing_server(half_closing_server const&) = delete;
    half_closing_server& operator=(half_closing_server const&) = delete;

    runtime::network_address const& address() const { return address_; }
    /// Bytes that it has read.
    std::size_t received_bytes() const { return received_bytes_; }

private:
    static void accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* argument)
    {
        auto& self = *static_cast<half_closing_server*>(argument);
        self.socket_ = socket;
        [[maybe_unused]] auto const sent =
            ::send(socket, self.answer_.data(), self.answer_.size(), MSG_NOSIGNAL);
        ::shutdown(socket, SHUT_WR);
        self.timer_ = self.timers_.after(self.delay_, [&self] { self.go_on(); });
    }

    void go_on()
    {
        if (then_ == afterwards::read)
        {
            reader_ = event_new(base_, socket_, EV_READ | EV_PERSIST, read, this);
            event_add(reader_, nullptr);
            return;
        }
        linger const at_once{1, 0};
        setsockopt(socket_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
        end();
    }

    static void read(evutil_socket_t socket, short, void* argument)
    {
        auto& self = *static_cast<half_closing_server*>(argument);
        std::array<char, 65536> buffer{};
        auto const n = ::recv(socket, buffer.data(), buffer.size(), 0);
        if (n > 0)
            self.received_bytes_ += static_cast<std::size_t>(n);
        else
            self.end();
    }

    void end()
    {
        if (reader_ != nullptr)
            event_free(std::exchange(reader_, nullptr));
        if (socket_ >= 0)
            ::close(std::exchange(socket_, -1));
    }

    event_base* base_;
    runtime::timer_service timers_;
    std::string answer_;
    afterwards then_;
    base::duration delay_;
    evconnlistener* listener_ = nullptr;
    evutil_socket_t socket_ = -1;
    event* reader_ = nullptr;
    std::size_t received_bytes_ = 0;
    runtime::timer_service::subscription timer_;
    runtime::network_address address_;
};

} // namespace savorymount::tests
