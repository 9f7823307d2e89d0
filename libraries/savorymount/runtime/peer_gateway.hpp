#pragma once

#include <savorymount/runtime/rpc_server.hpp>

#include <string>

namespace savorymount::runtime
{

/// The bootstrap interface of the internal port: answers challenges and hands out the peer
/// interface to callers that prove the shared secret.
class peer_gateway final : public wire::Gateway::Server
{
public:
    peer_gateway(std::string const& secret, rpc_server::peer_factory const& factory,
                 rpc_server::context_writer const& context)
        : secret_(secret), factory_(factory), context_(context)
    {
    }

protected:
    kj::Promise<void> challenge(ChallengeContext call) override;

private:
    std::string const& secret_;
    rpc_server::peer_factory const& factory_;
    rpc_server::context_writer const& context_;
};

} // namespace savorymount::runtime
