#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/rpc_server.hpp>
#include <savorymount/runtime/settings_parser.hpp>
#include <savorymount/runtime/timer_service.hpp>
#include <savorymount/wire/savorymount.capnp.h>

#include <functional>
#include <memory>
#include <string>

namespace savorymount::runtime
{

/// What a connection to a peer needs and whom it tells.
struct peer_connection_options
{
    network_address address;
    std::string secret;
    /// Fills the context that goes with each message.
    rpc_server::context_writer write_context;
    /// Makes this process's own peer interface, which the remote side may call back.
    std::function<wire::Peer::Client()> local_peer;
    /// Called with the context and load of every heartbeat answer.
    std::function<void(wire::Context::Reader, wire::LoadReport::Reader)> on_heartbeat;
    std::function<void()> on_open;
    std::function<void()> on_lost;
};

/// Keeps an authenticated connection to one peer: connects, sends heartbeats, and replaces a
/// connection that fails or goes silent, with a jittered delay between attempts.
class peer_connection
{
public:
    peer_connection(event_loop& loop, timer_service& timers, peer_connection_options options);
    ~peer_connection() noexcept;
    peer_connection(peer_connection const&) = delete;
    peer_connection& operator=(peer_connection const&) = delete;

    bool usable() const { return opened_; }

    /// Closes the connection for good and calls no further hook.
    void close();

    /// The remote interface; only while `usable()`.
    wire::Peer::Client peer();

    network_address const& address() const { return options_.address; }

private:
    class session;

    void connect();
    void handshake();
    void heartbeat();
    void drop(std::string_view reason);

    event_loop& loop_;
    timer_service& timers_;
    peer_connection_options options_;
    kj::Own<session> session_;
    std::uint64_t generation_ = 0;
    bool opened_ = false;
    bool ping_pending_ = false;
    unsigned failed_attempts_ = 0;
    base::time_point last_answer_{};
    timer_service::subscription heartbeat_timer_;
    timer_service::subscription retry_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace savorymount::runtime
