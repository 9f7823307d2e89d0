#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/settings_parser.hpp>

#include <event2/event.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace savorymount::runtime
{

/// A UDP socket. Datagrams may be lost, doubled or late.
class datagram_socket
{
public:
    using receive_hook = std::function<void(std::string_view)>;

    datagram_socket(event_loop& loop, receive_hook hook);
    ~datagram_socket();
    datagram_socket(datagram_socket const&) = delete;
    datagram_socket& operator=(datagram_socket const&) = delete;

    /// Returns the port; port 0 lets the kernel choose one.
    std::optional<std::uint16_t> bind(network_address const& address, base::error& reason);

    /// Sends without waiting; a datagram that the socket does not take is dropped.
    void send(network_address const& to, std::string_view bytes) const;

private:
    static void handle_read(evutil_socket_t, short, void* self);
    void receive();

    event_loop& loop_;
    receive_hook hook_;
    evutil_socket_t socket_ = -1;
    event* event_ = nullptr;
};

} // namespace savorymount::runtime
