#include <savorymount/runtime/bufferevent_stream.hpp>
#include <savorymount/runtime/log_events.hpp>
#include <savorymount/runtime/peer_gateway.hpp>
#include <savorymount/runtime/rpc_server.hpp>

#include <capnp/rpc-twoparty.h>
#include <event2/bufferevent.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <utility>

namespace savorymount::runtime
{
namespace
{

// Bounds what one message may make this process allocate: 32 MiB, above the largest request body.
constexpr std::uint64_t max_message_words = std::uint64_t{4} * 1024 * 1024;

using namespace std::chrono_literals;

// Clients send a heartbeat each second; a connection without bytes for this long is dead, even if
// TCP has not noticed.
constexpr base::duration silence_limit = 6s;
constexpr base::duration silence_check_interval = 1s;

} // namespace

class rpc_server::connection
{
public:
    connection(rpc_server& server, bufferevent* buffer)
        : stream_(buffer), network_(static_cast<kj::AsyncIoStream&>(stream_),
                                    capnp::rpc::twoparty::Side::SERVER, {max_message_words, 64}),
          rpc_(capnp::makeRpcServer(network_,
                                    wire::Gateway::Client(kj::heap<peer_gateway>(
                                        server.secret_, server.factory_, server.context_))))
    {
        last_activity_ = server.timers_.now();
        stream_.on_activity = [&server, this]
        {
            last_activity_ = server.timers_.now();
        };
        server.loop_.detach(network_.onDisconnect().then(
            [&server, this] { server.loop_.defer([&server, this] { server.remove(this); }); }));
    }

    base::time_point last_activity() const { return last_activity_; }

private:
    base::time_point last_activity_{};
    bufferevent_stream stream_;
    capnp::TwoPartyVatNetwork network_;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc_;
};

rpc_server::rpc_server(event_loop& loop, timer_service& timers, std::string secret,
                       peer_factory factory, context_writer context)
    : loop_(loop), timers_(timers), secret_(std::move(secret)), factory_(std::move(factory)),
      context_(std::move(context)),
      silence_timer_(timers_.every(silence_check_interval, [this] { drop_silent(); }))
{
}

rpc_server::~rpc_server() noexcept
{
    stop_accepting();
    connections_.clear();
}

std::optional<std::uint16_t> rpc_server::listen(network_address const& address, base::error& reason)
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &target.sin_addr);
    listener_ =
        evconnlistener_new_bind(loop_.base(), on_accept, this,
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                -1, reinterpret_cast<sockaddr*>(&target), sizeof target);
    if (listener_ == nullptr)
    {
        reason = {base::error_kind::unavailable, "cannot listen on " + to_string(address) + ": " +
                                                     std::strerror(errno) +
                                                     "; choose a free address of this instance"};
        return std::nullopt;
    }
    socklen_t size = sizeof target;
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&target), &size);
    return ntohs(target.sin_port);
}

void rpc_server::stop_accepting()
{
    if (listener_ != nullptr)
        evconnlistener_free(std::exchange(listener_, nullptr));
}

void rpc_server::on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self)
{
    auto* const server = static_cast<rpc_server*>(self);
    int const enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    bufferevent* const buffer =
        bufferevent_socket_new(server->loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    server->connections_.push_back(kj::heap<connection>(*server, buffer));
}

void rpc_server::drop_silent()
{
    auto const oldest = timers_.now() - silence_limit;
    std::vector<connection const*> silent;
    for (auto const& it : connections_)
    {
        if (it->last_activity() < oldest)
            silent.push_back(it.get());
    }
    for (auto const* it : silent)
    {
        log(log_events::peer_lost, {{"address", "inbound"}, {"reason", "silent"}});
        remove(it);
    }
}

void rpc_server::remove(connection const* which)
{
    auto const it = std::find_if(connections_.begin(), connections_.end(),
                                 [which](auto const& entry) { return entry.get() == which; });
    if (it != connections_.end())
        connections_.erase(it);
}

} // namespace savorymount::runtime
