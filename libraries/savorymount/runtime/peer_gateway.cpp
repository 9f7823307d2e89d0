#include <savorymount/base/digest.hpp>
#include <savorymount/runtime/log_events.hpp>
#include <savorymount/runtime/peer_authentication.hpp>
#include <savorymount/runtime/peer_gateway.hpp>

#include <kj/debug.h>

#include <utility>

namespace savorymount::runtime
{
namespace
{

constexpr std::size_t max_nonce_bytes = 64;

kj::ArrayPtr<kj::byte const> as_bytes(std::string const& text)
{
    return {reinterpret_cast<kj::byte const*>(text.data()), text.size()};
}

/// One challenge; opens at most once, so that a proof can't be used again.
class peer_session final : public wire::Session::Server
{
public:
    peer_session(std::string expected_proof, rpc_server::peer_factory const& factory,
                 rpc_server::context_writer const& context)
        : expected_proof_(std::move(expected_proof)), factory_(factory), context_(context)
    {
    }

protected:
    kj::Promise<void> open(OpenContext call) override
    {
        std::string const proof = call.getParams().getProof();
        bool const proved = !opened_ && base::equal_in_constant_time(proof, expected_proof_);
        opened_ = true;
        if (!proved)
        {
            log(log_events::peer_rejected,
                {{"remedy", "give both instances the same shared secret"}});
            KJ_FAIL_REQUIRE("the peer did not prove the shared secret");
        }
        auto const remote = call.getParams().getContext();
        auto results = call.getResults();
        context_(results.initContext());
        results.setPeer(factory_(remote, call.getParams().getPeer()));
        return kj::READY_NOW;
    }

private:
    std::string expected_proof_;
    rpc_server::peer_factory const& factory_;
    rpc_server::context_writer const& context_;
    bool opened_ = false;
};

} // namespace

kj::Promise<void> peer_gateway::challenge(ChallengeContext call)
{
    auto const nonce = call.getParams().getNonce();
    KJ_REQUIRE(nonce.size() <= max_nonce_bytes, "the nonce is too long");
    std::string const client_nonce(reinterpret_cast<char const*>(nonce.begin()), nonce.size());
    std::string const server_nonce = make_nonce();
    auto results = call.getResults();
    results.setNonce(as_bytes(server_nonce));
    results.setProof(make_proof(secret_, peer_role::server, client_nonce, server_nonce));
    results.setSession(kj::heap<peer_session>(
        make_proof(secret_, peer_role::client, client_nonce, server_nonce), factory_, context_));
    return kj::READY_NOW;
}

} // namespace savorymount::runtime
