#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/runtime/client_account.hpp>
#include <savorymount/runtime/inbound_connection.hpp>
#include <savorymount/runtime/settings_parser.hpp>

#include <event2/listener.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <unordered_map>

namespace savorymount::runtime
{

/// Bounds on what all clients of a server may hold.
struct inbound_bounds
{
    std::size_t max_connections = std::numeric_limits<std::size_t>::max();
    /// Memory of heads whose requests have not arrived whole.
    std::size_t max_head_bytes = std::numeric_limits<std::size_t>::max();
};

/// Accepts the connections of clients. Framing that two parsers could read differently is refused.
class inbound_server
{
public:
    using request_hook = std::function<void(std::shared_ptr<inbound_connection>, http_request&&)>;
    using body_hook = std::function<void(std::shared_ptr<inbound_connection>, http_head const&)>;

    inbound_server(event_loop& loop, timer_service& timers, request_hook hook,
                   inbound_bounds const& bounds = {});
    ~inbound_server();
    inbound_server(inbound_server const&) = delete;
    inbound_server& operator=(inbound_server const&) = delete;

    /// Returns the port; port 0 lets the kernel choose one.
    std::optional<std::uint16_t> listen(network_address const& address, base::error& reason);

    /// Called when a body is announced; see `inbound_hooks`.
    void on_body_announced(body_hook hook) { body_hook_ = std::move(hook); }

    /// Applies to all connections.
    void set_limits(configuration::client_limits const& limits);

    /// From now on each connection ends after its next response.
    void drain() { draining_ = true; }
    /// Closes the listening socket, and the connections without a request that have been open for
    /// `min_age`; the first request of a new connection may be on its way. Call it repeatedly.
    void close_idle(base::duration min_age);

    /// Interrupts the requests that await their responses. Returns how many there were.
    std::size_t interrupt_busy();

    std::size_t busy_connections() const;
    /// Connections whose response is complete and not accepted by the client yet.
    std::size_t unsent_responses() const;
    std::size_t connections() const { return connections_.size(); }

private:
    static void handle_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self);
    void accept(evutil_socket_t socket);
    /// Accepts the connections that wait in the kernel.
    void accept_pending();
    /// Makes room for one more connection than `newest`: ends an idle one, the one from which
    /// nothing has come for longest, or leaves new ones in the backlog if all others are in use.
    void make_room(inbound_connection const& newest);
    void pause_accepting();
    void connection_closed(inbound_connection const& it);
    void end_excess();

    event_loop& loop_;
    timer_service& timers_;
    request_hook hook_;
    body_hook body_hook_;
    configuration::client_limits limits_;
    inbound_bounds bounds_;
    client_account heads_;
    bool draining_ = false;
    evconnlistener* listener_ = nullptr;
    base::time_point next_pause_report_at_{};
    std::unordered_map<inbound_connection const*, std::shared_ptr<inbound_connection>> connections_;
};

} // namespace savorymount::runtime
