#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/gateway/admission.hpp>
#include <savorymount/gateway/fleet_view.hpp>
#include <savorymount/gateway/placement.hpp>
#include <savorymount/gateway/platform_port.hpp>
#include <savorymount/gateway/request_outcome.hpp>
#include <savorymount/gateway/retry_decision.hpp>
#include <savorymount/runtime/inbound_connection.hpp>
#include <savorymount/runtime/outbound_pool.hpp>
#include <savorymount/streams/event_splitter.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace savorymount::gateway
{

/// What every request flow uses.
struct flow_services
{
    runtime::event_loop& loop;
    runtime::timer_service& timers;
    runtime::outbound_pool& pool;
    fleet_view& view;
    platform_port& port;
    base::random_source& random;
    /// Called once when a request has ended.
    std::function<void(request_outcome const&)> ended;
    /// Called when a request goes to another upstream; says why.
    std::function<void(std::string const& id, std::string const& upstream,
                       std::string const& reason)>
        repeated;
};

/// The life of one caller's request, from its arrival to the end of its answer. It keeps itself
/// alive until then, and every way to its end goes through `end`.
class request_flow final : public std::enable_shared_from_this<request_flow>
{
public:
    request_flow(flow_services& services, std::shared_ptr<runtime::inbound_connection> client,
                 runtime::http_request request);

    void start();

private:
    /// One send to an upstream.
    struct send
    {
        placed_request placed;
        std::unique_ptr<runtime::outbound_connection> connection;
        bool answered = false;
        runtime::http_head head;
        answer_facts facts;
        std::string body;
        streams::event_splitter events;
        /// The answer can't be trusted.
        bool unusable = false;
        runtime::timer_service::subscription stall_timer;
    };

    void dispatch();
    void call_upstream();
    void take_head(runtime::http_head const& head);
    void take_body(std::string_view bytes);
    void take_events(std::string_view bytes);
    void take_end();
    void take_failure(runtime::call_failure kind, std::string const& reason);
    void take_rejection();
    /// The engine has other weights than the request expected.
    void weights_denied();
    void watch_for_stall();
    void stalled();
    /// Sends the request elsewhere if that is allowed, and gives up otherwise.
    void next_or_give_up(send_end last, std::string const& reason);
    void give_up(std::string const& reason);
    void deliver(runtime::http_head const& head, std::string const& body);
    void forward_event(streams::raw_event const& event);
    void hold_back_if_client_is_slow();
    void time_limit_reached();
    void client_left();
    void refuse(refusal const& it);
    void fail(int status, std::string const& reason);
    void drop_send(bool keep_connection);
    void end(request_end how, int status, std::string const& reason);

    bool is_stream_answer() const;
    base::duration elapsed() const;
    send_history history() const;

    flow_services& services_;
    std::shared_ptr<runtime::inbound_connection> client_;
    runtime::http_request received_;
    caller_request request_;
    std::optional<admitted_request> admitted_;
    std::string service_;
    base::time_point arrived_;
    std::unique_ptr<send> send_;
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
};

} // namespace savorymount::gateway
