#include <savorymount/base/digest.hpp>
#include <savorymount/runtime/bufferevent_stream.hpp>
#include <savorymount/runtime/log_events.hpp>
#include <savorymount/runtime/peer_authentication.hpp>
#include <savorymount/runtime/peer_connection.hpp>

#include <capnp/rpc-twoparty.h>
#include <event2/bufferevent.h>
#include <kj/debug.h>

#include <algorithm>
#include <arpa/inet.h>
#include <random>
#include <utility>

namespace savorymount::runtime
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration heartbeat_interval = 1s;
constexpr base::duration silence_limit = 3s;
constexpr base::duration shortest_retry_delay = 100ms;
constexpr base::duration longest_retry_delay = 2s;
constexpr std::uint64_t max_message_words = std::uint64_t{4} * 1024 * 1024;

base::duration retry_delay(unsigned failed_attempts)
{
    // Jitter keeps many instances that lost the same peer from connecting at the same moment.
    static thread_local std::minstd_rand generator{std::random_device{}()};
    auto const factor = 1U << std::min(failed_attempts, 5U);
    auto const ceiling = std::min(longest_retry_delay, shortest_retry_delay * factor);
    std::uniform_int_distribution<base::duration::rep> spread(ceiling.count() / 2, ceiling.count());
    return base::duration(spread(generator));
}

bufferevent* open_socket(event_base* loop, network_address const& address)
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &target.sin_addr);
    bufferevent* const buffer = bufferevent_socket_new(loop, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_socket_connect(buffer, reinterpret_cast<sockaddr*>(&target), sizeof target);
    return buffer;
}

} // namespace

class peer_connection::session
{
public:
    explicit session(bufferevent* buffer)
        : stream_(buffer), network_(static_cast<kj::AsyncIoStream&>(stream_),
                                    capnp::rpc::twoparty::Side::CLIENT, {max_message_words, 64}),
          rpc_(capnp::makeRpcClient(network_))
    {
    }

    wire::Gateway::Client gateway()
    {
        capnp::MallocMessageBuilder message(4);
        auto id = message.getRoot<capnp::rpc::twoparty::VatId>();
        id.setSide(capnp::rpc::twoparty::Side::SERVER);
        return rpc_.bootstrap(id).castAs<wire::Gateway>();
    }

    kj::Promise<void> disconnected() { return network_.onDisconnect(); }

    kj::Maybe<wire::Peer::Client> peer;

private:
    bufferevent_stream stream_;
    capnp::TwoPartyVatNetwork network_;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc_;
};

peer_connection::peer_connection(event_loop& loop, timer_service& timers,
                                 peer_connection_options options)
    : loop_(loop), timers_(timers), options_(std::move(options))
{
    connect();
}

peer_connection::~peer_connection() noexcept
{
    *alive_ = false;
}

void peer_connection::close()
{
    *alive_ = false;
    opened_ = false;
    ++generation_;
    heartbeat_timer_ = {};
    retry_timer_ = {};
}

wire::Peer::Client peer_connection::peer()
{
    KJ_IF_MAYBE (it, session_->peer)
        return *it;
    KJ_FAIL_REQUIRE("the connection is not usable");
}

void peer_connection::connect()
{
    session_ = kj::heap<session>(open_socket(loop_.base(), options_.address));
    last_answer_ = timers_.now();
    ++generation_;
    handshake();
    heartbeat_timer_ = timers_.every(heartbeat_interval, [this] { heartbeat(); });
}

void peer_connection::handshake()
{
    // Results of an older connection must not touch a newer one, so each hook checks the
    // generation.
    auto const current = [alive = alive_, this, generation = generation_]
    {
        return *alive && generation == generation_;
    };
    loop_.detach(session_->disconnected().then(
        [this, current]
        {
            if (current())
                drop("disconnected");
        }));
    std::string const nonce = make_nonce();
    auto challenge = session_->gateway().challengeRequest();
    challenge.setNonce({reinterpret_cast<kj::byte const*>(nonce.data()), nonce.size()});
    auto opened = challenge.send().then(
        [this, nonce,
         current](capnp::Response<wire::Gateway::ChallengeResults>&& answer) -> kj::Promise<void>
        {
            if (!current())
                return kj::READY_NOW;
            auto const bytes = answer.getNonce();
            std::string const remote(reinterpret_cast<char const*>(bytes.begin()), bytes.size());
            std::string const proof = answer.getProof();
            auto const expected = make_proof(options_.secret, peer_role::server, nonce, remote);
            KJ_REQUIRE(base::equal_in_constant_time(proof, expected),
                       "the remote side did not prove the shared secret");
            auto open = answer.getSession().openRequest();
            open.setProof(make_proof(options_.secret, peer_role::client, nonce, remote));
            options_.write_context(open.initContext());
            open.setPeer(options_.local_peer());
            return open.send().then(
                [this, current](capnp::Response<wire::Session::OpenResults>&& result)
                {
                    if (!current())
                        return;
                    session_->peer = result.getPeer();
                    opened_ = true;
                    failed_attempts_ = 0;
                    last_answer_ = timers_.now();
                    log(log_events::peer_connected, {{"address", to_string(options_.address)}});
                    options_.on_open();
                    heartbeat();
                });
        });
    loop_.detach(opened.catch_(
        [this, current](kj::Exception&& exception)
        {
            if (current())
                drop(std::string_view(exception.getDescription().cStr()));
        }));
}

void peer_connection::heartbeat()
{
    if (timers_.now() - last_answer_ > silence_limit)
    {
        drop("silent");
        return;
    }
    if (!opened_ || ping_pending_)
        return;
    ping_pending_ = true;
    auto request = peer().pingRequest();
    options_.write_context(request.initContext());
    auto const current = [alive = alive_, this, generation = generation_]
    {
        return *alive && generation == generation_;
    };
    loop_.detach(request.send().then(
        [this, current](capnp::Response<wire::Peer::PingResults>&& answer)
        {
            if (!current())
                return;
            ping_pending_ = false;
            last_answer_ = timers_.now();
            options_.on_heartbeat(answer.getContext(), answer.getLoad());
        },
        [this, current](kj::Exception&& exception)
        {
            if (current())
                drop(std::string_view(exception.getDescription().cStr()));
        }));
}

void peer_connection::drop(std::string_view reason)
{
    bool const was_open = std::exchange(opened_, false);
    ++generation_;
    ping_pending_ = false;
    heartbeat_timer_ = {};
    // The session may be on the call stack, so it is destroyed from the loop.
    auto const dropped = std::make_shared<kj::Own<session>>(kj::mv(session_));
    loop_.defer([dropped] { *dropped = nullptr; });
    if (was_open || failed_attempts_ == 0)
        log(log_events::peer_lost, {{"address", to_string(options_.address)}, {"reason", reason}});
    auto const delay = retry_delay(failed_attempts_++);
    retry_timer_ = timers_.after(delay, [this] { connect(); });
    if (was_open)
        options_.on_lost();
}

} // namespace savorymount::runtime
