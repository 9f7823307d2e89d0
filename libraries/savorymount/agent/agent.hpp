#pragma once

#include <savorymount/agent/agent_peer.hpp>
#include <savorymount/agent/agent_settings.hpp>

#include <memory>

namespace savorymount::agent
{

/// An agent assembled from its parts.
class agent
{
public:
    /// Null, with a reason, when a plug-in is unknown.
    static std::unique_ptr<agent> make(agent_settings settings, base::error& reason);

    agent(agent_settings settings, std::unique_ptr<runtime::kernel> owner,
          runtime::upstream_adapter adapter);

    /// Opens the ports; false with a reason if one can't be opened.
    bool start(base::error& reason);

    /// Runs until the agent has drained after SIGTERM.
    void run() { kernel_->run(); }

private:
    agent_settings settings_;
    std::unique_ptr<runtime::kernel> kernel_;
    runtime::upstream_adapter adapter_;
    upstream_monitor monitor_;
    bucket_service buckets_;
    claim_service claims_;
    request_table requests_;
};

} // namespace savorymount::agent
