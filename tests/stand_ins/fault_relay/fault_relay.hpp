#pragma once

#include <event2/listener.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tests/stand_ins/fault_relay/relay_link.hpp>
#include <tests/stand_ins/stand_in.hpp>

namespace savorymount::stand_ins
{

/// Relays TCP connections to one target, with faults set over HTTP.
class fault_relay
{
public:
    fault_relay(runtime::event_loop& loop, runtime::network_address target);
    ~fault_relay();
    fault_relay(fault_relay const&) = delete;
    fault_relay& operator=(fault_relay const&) = delete;

    /// Accepts connections to relay and returns the port.
    std::optional<std::uint16_t> listen(runtime::network_address const& address,
                                        base::error& reason);

    /// Serves the control interface. Modes: `pass`; `cut` resets all connections and refuses new
    /// ones; `reset` resets them once; `blackhole` and `blackhole_existing` silence connections for
    /// good; `mute_answers` loses what the target sends.
    void handle(exchange_ptr const& exchange);

private:
    static void on_accept(evconnlistener* listener, evutil_socket_t socket, sockaddr* peer,
                          int size, void* self);

    void accept(evutil_socket_t socket);
    void control(exchange_ptr const& exchange);
    bool set_mode(std::string const& mode);
    json status() const;

    runtime::event_loop& loop_;
    runtime::network_address target_;
    evconnlistener* listener_ = nullptr;
    std::uint16_t port_ = 0;
    std::string mode_ = "pass";
    base::duration delay_{0};
    std::map<relay_link const*, std::unique_ptr<relay_link>> links_;
};

} // namespace savorymount::stand_ins
