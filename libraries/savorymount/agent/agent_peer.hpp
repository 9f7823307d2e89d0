#pragma once

#include <savorymount/agent/bucket_service.hpp>
#include <savorymount/agent/request_table.hpp>
#include <savorymount/agent/upstream_monitor.hpp>
#include <savorymount/runtime/base_peer.hpp>

namespace savorymount::agent
{

/// The agent's interface to entries and other agents.
class agent_peer final : public runtime::base_peer
{
public:
    agent_peer(runtime::kernel& owner, kj::Maybe<wire::Peer::Client> caller,
               request_table& requests, bucket_service& buckets, upstream_monitor& monitor)
        : base_peer(owner, kj::mv(caller)), requests_(requests), buckets_(buckets),
          monitor_(monitor)
    {
    }

protected:
    kj::Promise<void> submit(SubmitContext call) override;
    kj::Promise<void> attach(AttachContext call) override;
    kj::Promise<void> cancel(CancelContext call) override;
    kj::Promise<void> reserve(ReserveContext call) override;
    kj::Promise<void> settle(SettleContext call) override;
    void write_load(wire::LoadReport::Builder load) override;

private:
    request_table& requests_;
    bucket_service& buckets_;
    upstream_monitor& monitor_;
};

} // namespace savorymount::agent
