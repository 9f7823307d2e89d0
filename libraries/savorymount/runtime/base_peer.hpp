#pragma once

#include <savorymount/runtime/kernel.hpp>
#include <savorymount/wire/savorymount.capnp.h>

namespace savorymount::runtime
{

/// The part of the peer interface that every instance offers: heartbeats and configuration.
class base_peer : public wire::Peer::Server
{
public:
    /// `caller` is the interface of the other side, if it is known.
    base_peer(kernel& owner, kj::Maybe<wire::Peer::Client> caller)
        : caller_(kj::mv(caller)), kernel_(owner)
    {
    }

protected:
    kj::Promise<void> ping(PingContext call) override;
    kj::Promise<void> configuration(ConfigurationContext call) override;

    /// Adds the load of this instance to a heartbeat answer.
    virtual void write_load(wire::LoadReport::Builder load) { (void)load; }

    kernel& owner() { return kernel_; }

    /// Takes in the context of a call.
    void observe(wire::Context::Reader context);

private:
    kj::Maybe<wire::Peer::Client> caller_;
    kernel& kernel_;
};

} // namespace savorymount::runtime
