#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/settings_parser.hpp>
#include <savorymount/runtime/timer_service.hpp>
#include <savorymount/wire/savorymount.capnp.h>

#include <event2/listener.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::runtime
{

/// Accepts Cap'n Proto connections on the internal port. A peer reaches nothing but the gateway
/// until it has proved the shared secret.
class rpc_server
{
public:
    /// Builds the peer interface for an authenticated connection.
    using peer_factory =
        std::function<wire::Peer::Client(wire::Context::Reader remote, wire::Peer::Client caller)>;
    using context_writer = std::function<void(wire::Context::Builder)>;

    rpc_server(event_loop& loop, timer_service& timers, std::string secret, peer_factory factory,
               context_writer context);
    ~rpc_server() noexcept;
    rpc_server(rpc_server const&) = delete;
    rpc_server& operator=(rpc_server const&) = delete;

    /// Listens on `address`; port 0 lets the kernel choose. Returns the port.
    std::optional<std::uint16_t> listen(network_address const& address, base::error& reason);

    /// Refuses new connections; open ones go on.
    void stop_accepting();

private:
    class connection;

    static void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self);
    void remove(connection const* which);
    void drop_silent();

    event_loop& loop_;
    timer_service& timers_;
    std::string secret_;
    peer_factory factory_;
    context_writer context_;
    evconnlistener* listener_ = nullptr;
    std::vector<kj::Own<connection>> connections_;
    timer_service::subscription silence_timer_;
};

} // namespace savorymount::runtime
