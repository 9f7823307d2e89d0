#pragma once

#include <savorymount/gateway/admission.hpp>
#include <savorymount/gateway/platform_adapter.hpp>
#include <savorymount/gateway/request_outcome.hpp>
#include <savorymount/queueing/body_budget.hpp>
#include <savorymount/runtime/inbound_connection.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

namespace savorymount::gateway
{

/// Decides from the head of a request whether and when its body is read, and counts the memory of
/// all bodies.
class body_admission
{
public:
    /// `refused` is called once for each request that is refused.
    body_admission(runtime::timer_service& timers, cluster_state& cluster,
                   platform_adapter& platform, queueing::body_budget_limits limits,
                   std::function<void(request_outcome const&)> refused);

    /// Handles a body that was announced.
    void handle_head(std::shared_ptr<runtime::inbound_connection> const& client,
                     runtime::http_head const& head);

    /// Counts the body of a request that has arrived. False, with the reason, if there is no memory
    /// for it.
    bool handle_body(runtime::http_request& request, refusal& refused);

private:
    using ticket = queueing::body_budget::ticket;
    class reservation;

    struct waiting_body
    {
        std::shared_ptr<runtime::inbound_connection> client;
        caller_request request;
        admitted_request found;
        runtime::timer_service::subscription timeout;
    };

    void wait(ticket id, waiting_body it, base::duration max_wait);
    void read_granted_bodies();
    void give_up(ticket id);
    void release(ticket id);
    void refuse(runtime::inbound_connection& client, caller_request const& request,
                admitted_request const& found, refusal const& it);

    runtime::timer_service& timers_;
    cluster_state& cluster_;
    platform_adapter& platform_;
    std::function<void(request_outcome const&)> refused_;
    queueing::body_budget budget_;
    std::unordered_map<ticket, waiting_body> waiting_;
    /// Expires before the members do; connections may keep reservations longer.
    std::shared_ptr<body_admission*> self_ = std::make_shared<body_admission*>(this);
};

} // namespace savorymount::gateway
