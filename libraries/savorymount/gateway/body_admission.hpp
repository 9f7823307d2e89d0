#pragma once

#include <savorymount/gateway/admission.hpp>
#include <savorymount/gateway/platform_adapter.hpp>
#include <savorymount/gateway/request_outcome.hpp>
#include <savorymount/runtime/inbound_connection.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <functional>
#include <memory>

namespace savorymount::gateway
{

/// Decides from the head of a request whether its body is read.
class body_admission
{
public:
    /// `refused` is called once for each request that is refused.
    body_admission(runtime::timer_service& timers, cluster_state& cluster,
                   platform_adapter& platform, std::function<void(request_outcome const&)> refused);

    /// Handles a body that was announced.
    void handle_head(std::shared_ptr<runtime::inbound_connection> const& client,
                     runtime::http_head const& head);

private:
    void refuse(runtime::inbound_connection& client, caller_request const& request,
                admitted_request const& found, refusal const& it);

    runtime::timer_service& timers_;
    cluster_state& cluster_;
    platform_adapter& platform_;
    std::function<void(request_outcome const&)> refused_;
};

} // namespace savorymount::gateway
