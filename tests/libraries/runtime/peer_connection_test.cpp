#include <savorymount/runtime/peer_connection.hpp>

#include <event2/bufferevent.h>
#include <gtest/gtest.h>

#include <memory>
#include <netinet/in.h>

namespace savorymount::runtime
{
namespace
{

using namespace std::chrono_literals;

class counting_peer final : public wire::Peer::Server
{
public:
    explicit counting_peer(int& pings) : pings_(pings) {}

protected:
    kj::Promise<void> ping(PingContext call) override
    {
        ++pings_;
        call.getResults().initContext().setVersion(7);
        return kj::READY_NOW;
    }

private:
    int& pings_;
};

class peer_connection_test : public testing::Test
{
protected:
    void serve(std::string const& secret)
    {
        server = std::make_unique<rpc_server>(
            loop, timers, secret,
            [this](wire::Context::Reader, wire::Peer::Client const&)
            { return wire::Peer::Client(kj::heap<counting_peer>(pings)); },
            [](wire::Context::Builder it) { it.setInstance("server"); });
        base::error reason;
        address = {"127.0.0.1", server->listen({"127.0.0.1", 0}, reason).value_or(0)};
    }

    peer_connection_options options(std::string secret)
    {
        return {.address = address,
                .secret = std::move(secret),
                .write_context = [](wire::Context::Builder it) { it.setInstance("client"); },
                .local_peer = [this] { return wire::Peer::Client(kj::heap<counting_peer>(pings)); },
                .on_heartbeat =
                    [this](wire::Context::Reader context, wire::LoadReport::Reader)
                {
                    version = context.getVersion();
                    loop.stop();
                },
                .on_open = [this] { opened = true; },
                .on_lost =
                    [] {
                    }};
    }

    void run_for(base::duration limit)
    {
        auto const guard = timers.after(limit, [this] { loop.stop(); });
        loop.run();
    }

    event_loop loop;
    timer_service timers{loop};
    int pings = 0;
    bool opened = false;
    std::uint64_t version = 0;
    network_address address;
    std::unique_ptr<rpc_server> server;
};

// Guards against a transport that never delivers: the handshake and one heartbeat must pass.
TEST_F(peer_connection_test, opens_and_exchanges_heartbeats)
{
    serve("secret");
    peer_connection connection(loop, timers, options("secret"));
    run_for(20s);
    EXPECT_TRUE(opened);
    EXPECT_EQ(pings, 1);
    EXPECT_EQ(version, 7U);
}

// Guards against work from a process that does not know the shared secret.
TEST_F(peer_connection_test, wrong_secret_reaches_nothing)
{
    serve("secret");
    peer_connection connection(loop, timers, options("other"));
    run_for(300ms);
    EXPECT_FALSE(opened);
    EXPECT_EQ(pings, 0);
}

// Guards against a crash or a stalled server when something else connects to the internal port.
TEST_F(peer_connection_test, garbage_on_the_internal_port_is_dropped)
{
    serve("secret");
    bufferevent* const stranger = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bufferevent_socket_connect(stranger, reinterpret_cast<sockaddr*>(&target), sizeof target);
    std::string const garbage(4096, '\xff');
    bufferevent_write(stranger, garbage.data(), garbage.size());
    run_for(100ms);
    peer_connection connection(loop, timers, options("secret"));
    run_for(20s);
    EXPECT_EQ(pings, 1);
    bufferevent_free(stranger);
}

} // namespace
} // namespace savorymount::runtime
