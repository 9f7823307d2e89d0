#pragma once

#include <savorymount/gateway/admission.hpp>
#include <savorymount/gateway/flow_services.hpp>
#include <savorymount/gateway/placement.hpp>
#include <savorymount/gateway/request_outcome.hpp>
#include <savorymount/gateway/retry_decision.hpp>
#include <savorymount/gateway/upstream_send.hpp>
#include <savorymount/runtime/inbound_connection.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace savorymount::gateway
{

/// The life of one caller's request, from its arrival to the end of its answer. It keeps itself
/// alive until then, and every way to its end goes through `end`.
class request_flow final : public std::enable_shared_from_this<request_flow>
{
public:
    request_flow(flow_services& services, std::shared_ptr<runtime::inbound_connection> client,
                 runtime::http_request request);

    void start();

private:
    void dispatch();
    void call_upstream(placed_request placed);
    void take_event(streams::raw_event const& event);
    void take_result(send_result result, std::string const& reason);
    void take_stream_end();
    void take_answer();
    /// The request may have run, without an answer for the caller.
    void take_loss(send_end last, std::string const& reason);
    void watch_for_stall();
    void stalled();
    /// Sends the request elsewhere if that is allowed, and gives up otherwise.
    void next_or_give_up(send_end last, std::string const& reason);
    void give_up(std::string const& reason);
    /// Ends a stream whose beginning the client has.
    void break_off(std::string const& reason);
    void deliver(runtime::http_head const& head, std::string const& body);
    void hold_back_if_client_is_slow();
    void time_limit_reached();
    void client_left();
    void refuse(refusal const& it);
    void fail(int status, std::string const& reason);
    void drop_send(bool keep_connection);
    void end(request_end how, int status, std::string const& reason);

    base::duration elapsed() const;
    send_history history() const;

    flow_services& services_;
    std::shared_ptr<runtime::inbound_connection> client_;
    runtime::http_request received_;
    caller_request request_;
    std::optional<admitted_request> admitted_;
    std::string service_;
    base::time_point arrived_;
    std::shared_ptr<upstream_send> send_;
    std::set<std::string> tried_;
    std::uint32_t sent_ = 0;
    std::uint32_t not_sent_ = 0;
    bool may_have_run_ = false;
    /// The head of a stream went to the client.
    bool streaming_ = false;
    std::optional<std::uint64_t> last_event_;
    /// A failure that an upstream answered, delivered if no other send does better.
    std::optional<runtime::http_head> failure_head_;
    std::string failure_body_;
    bool ended_ = false;
    request_outcome outcome_;
    runtime::timer_service::subscription time_limit_;
    runtime::timer_service::subscription stall_timer_;
};

} // namespace savorymount::gateway
