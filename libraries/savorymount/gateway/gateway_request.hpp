#pragma once

#include <savorymount/gateway/admission.hpp>
#include <savorymount/gateway/gateway_context.hpp>
#include <savorymount/gateway/placement.hpp>
#include <savorymount/gateway/request_outcome.hpp>
#include <savorymount/gateway/retry_decision.hpp>
#include <savorymount/gateway/upstream_attempt.hpp>
#include <savorymount/runtime/inbound_connection.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace savorymount::gateway
{

/// Handles one caller's request from its arrival to the end of the response. Its callbacks keep it
/// alive until then, and every path ends in `finish`.
class gateway_request final : public std::enable_shared_from_this<gateway_request>
{
public:
    gateway_request(gateway_context& context, std::shared_ptr<runtime::inbound_connection> client,
                    runtime::http_request request);

    void start();
    /// Refuses the request instead of starting it.
    void refuse(refusal const& it);

private:
    /// Whether the request resumes a stream that another one began.
    /// Takes memory for what the request keeps of its head; without it, the request is refused.
    bool reserve_memory();
    bool resumes_stream() const;
    /// Finds the software version that began the stream, and dispatches the request to it.
    void find_stream_origin();
    void handle_stream_origin(stream_lookup const& found);
    /// Notes the software version that begins the stream.
    void record_stream_origin();
    /// Dispatches the request when an engine can begin it.
    void dispatch_with_room();
    /// Notes how long the request waited for the decision whether it begins.
    void end_admission_wait();
    void dispatch();
    void start_attempt(placed_request placed);
    /// Records the weight version of an attempt for the log.
    void record_weights(std::uint64_t version);
    void handle_event(streams::raw_event const& event);
    void handle_attempt_result(attempt_result result, std::string const& reason);
    void record_lost_upstream();
    /// The attempt delivered a whole response, so its prompt parts crash no upstream.
    void record_completed_response();
    /// Refuses a request that has not run if the process drains and would cut it off.
    bool refuse_before_process_ends();
    /// Gives up if the prompt has parts that crash upstreams.
    bool give_up_after_crashes();
    void handle_stream_end();
    void handle_response();
    void keep_failure_response();
    /// The attempt may have executed the request but gave no response for the caller.
    void handle_failure_after_send(attempt_failure failure, std::string const& reason);
    /// Starts to watch an attempt that may be repeated.
    void start_stall_timer();
    void check_stall();
    /// Whether the process ran again after a suspension later than `time`.
    bool resumed_since(base::time_point time);
    /// Retries on another upstream if that is allowed, and gives up otherwise.
    void retry_or_give_up(attempt_failure failure, std::string const& reason);
    /// Sends a stream that broke off to another upstream.
    void resume_elsewhere();
    /// The same with a list of upstreams that was read since.
    void dispatch_elsewhere();
    void give_up(std::string const& reason);
    /// The refusal of a request that no upstream took.
    refusal rejection_refusal(std::string const& reason);
    /// Closes the connection of a caller that has received part of a stream.
    void abort_stream(std::string const& reason);
    void deliver_response(runtime::http_head const& head, std::string const& body);
    void apply_backpressure();
    void handle_timeout();
    void handle_client_disconnect();
    /// The process ends before the response is complete.
    void handle_process_end();
    std::shared_ptr<std::string const> body() const;
    /// Returns the memory of the body, which no retry needs.
    void release_body();
    void fail(int status, std::string const& reason);
    void finish_attempt(bool keep_connection);
    void finish(request_end result, int status, std::string const& reason);

    base::duration elapsed() const;
    attempt_history history() const;

    gateway_context& context_;
    std::shared_ptr<runtime::inbound_connection> client_;
    /// Shared with the connection that sends the body.
    std::shared_ptr<runtime::http_request> http_request_;
    caller_request caller_request_;
    std::optional<admitted_request> admitted_;
    std::string service_;
    base::time_point arrived_at_;
    base::time_point stall_timer_started_at_{};
    std::shared_ptr<upstream_attempt> attempt_;
    upstream_constraints constraints_;
    /// Of the admission; 0 if it is not in force for the service.
    std::uint64_t admission_ticket_ = 0;
    /// Set while the decision whether the request begins is awaited.
    std::optional<base::time_point> admission_asked_at_;
    std::uint32_t attempts_sent_ = 0;
    std::uint32_t attempts_not_sent_ = 0;
    bool may_have_run_ = false;
    /// The head of a streamed response was sent to the caller.
    bool streaming_ = false;
    std::optional<std::uint64_t> last_event_id_;
    /// A failure response of an upstream, delivered if no retry succeeds.
    std::optional<runtime::http_head> failure_response_head_;
    std::string failure_response_body_;
    /// What the request keeps of its head.
    base::byte_account::share memory_;
    response_memory::share failure_response_memory_;
    bool finished_ = false;
    /// The time limit has passed, and a response that was ready had time to arrive.
    bool timeout_put_off_ = false;
    /// The upstream that began a stream which broke off.
    std::string first_upstream_;
    request_outcome outcome_;
    runtime::timer_service::subscription timeout_timer_;
    runtime::timer_service::subscription stall_timer_;
};

} // namespace savorymount::gateway
