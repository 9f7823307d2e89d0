#pragma once

#include <savorymount/gateway/caller_request.hpp>
#include <savorymount/gateway/gateway_context.hpp>
#include <savorymount/gateway/placement.hpp>
#include <savorymount/runtime/outbound_connection.hpp>
#include <savorymount/streams/event_splitter.hpp>
#include <savorymount/streams/stall_detector.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace savorymount::gateway
{

/// The result of an attempt at an upstream.
enum class attempt_result
{
    /// A complete response that is not a stream, whatever its status.
    complete_response,
    /// A stream ended normally.
    stream_ended,
    /// No byte reached the upstream.
    not_sent,
    /// The upstream responded that it did not execute the request.
    rejected,
    /// Another process responded at its address, and did not execute the request.
    upstream_ended,
    /// The connection broke, or the stream ended inside an event; the request may have been
    /// executed.
    connection_lost,
    /// The response is malformed or not authentic; the request may have been executed.
    invalid_response
};

/// Callbacks of an attempt. `finished` is called once, as the last one, and may finish the attempt.
struct attempt_callbacks
{
    std::function<void(streams::raw_event const&)> event;
    std::function<void(attempt_result, std::string const& reason)> finished;
};

/// One attempt of a caller's request at one upstream. It reads the response and updates the table
/// of upstreams; its owner decides whether to retry.
class upstream_attempt final : public std::enable_shared_from_this<upstream_attempt>
{
public:
    /// `target_event_gap` is the longest pause between two events of a stream that the route aims
    /// for.
    upstream_attempt(gateway_context& context, placed_request placed, bool streaming,
                     base::duration target_event_gap);

    /// `request` must outlive the attempt.
    void start(caller_request const& request, std::shared_ptr<std::string const> body,
               attempt_callbacks callbacks);

    /// Stops or resumes reading, for backpressure from a slow caller.
    void pause_reading(bool paused);

    /// Ends the attempt; no callback is called after this. `keep_connection` returns the connection
    /// to the pool; without a complete response it is closed anyway.
    void finish(bool keep_connection);

    placed_request const& placement() const { return placement_; }
    /// Whether a part of the response arrived that may be forwarded to the caller.
    bool response_started() const { return response_started_; }
    runtime::http_head const& head() const { return head_; }
    std::string const& body() const { return body_; }

private:
    runtime::call_hooks make_call_callbacks(std::string const& request_id);
    /// Whether the request may still be sent as it was placed.
    bool placement_holds() const;
    void handle_head(runtime::http_head const& head);
    /// Notes what the response says of its upstream: that it leaves, that it wants no request for
    /// some time, and its limit.
    void record_notices();
    void handle_body(std::string_view bytes);
    void handle_stream_bytes(std::string_view bytes);
    void record_event_gap();
    void check_incomplete_event(bool event_completed);
    /// Whether the response may occupy `bytes` of memory; ends the call otherwise. `too_large` is
    /// the reason if `bytes` exceeds `limit`.
    bool reserve_memory(std::size_t bytes, std::size_t limit,
                        std::string (*too_large)(response_limits const&));
    void handle_end();
    void handle_failure(runtime::call_failure kind, std::string const& reason);
    void record_rejection();
    /// Whether the response names another upstream than the one that was addressed.
    bool is_from_other_upstream() const;
    /// The engine has another weight version than the request expected.
    void record_version_mismatch();
    void record_first_byte();
    void report_result(attempt_result result, std::string const& reason);
    bool is_stream_response() const;
    /// Whether the response had neither a length nor chunks, so that its connection ended it.
    bool ended_with_connection() const;
    /// Ends a stream that looks whole, unless its upstream has ended with it.
    void confirm_stream_end();
    void handle_stream_end(runtime::probe_result result);

    gateway_context& context_;
    placed_request placement_;
    bool streaming_;
    base::time_point placed_at_{};
    /// When the latest events of a stream arrived.
    std::optional<base::time_point> last_event_at_;
    std::string model_;
    attempt_callbacks callbacks_;
    std::unique_ptr<runtime::outbound_connection> connection_;
    runtime::http_head head_;
    response_metadata metadata_;
    std::string body_;
    streams::event_splitter event_splitter_;
    streams::stall_detector stall_detector_;
    response_memory::share memory_;
    std::unique_ptr<runtime::connection_probe> probe_;
    bool response_started_ = false;
    /// The response lacks a request id or the upstream's stamp.
    bool untrusted_ = false;
};

} // namespace savorymount::gateway
