#pragma once

#include <savorymount/gateway/caller_request.hpp>
#include <savorymount/gateway/gateway_context.hpp>
#include <savorymount/gateway/placement.hpp>
#include <savorymount/runtime/outbound_connection.hpp>
#include <savorymount/streams/event_splitter.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace savorymount::gateway
{

/// What one send to an upstream came to.
enum class attempt_result
{
    /// A whole answer that is no stream, whatever its status.
    complete_response,
    /// A stream came to its end.
    stream_ended,
    /// No byte reached the upstream.
    not_sent,
    /// The upstream said that it did not run the request.
    rejected,
    /// The connection broke; the request may have run.
    connection_lost,
    /// The answer is not whole or not the upstream's; the request may have run.
    invalid_response
};

/// What a send reports. `ended` comes once, last, and may finish the send.
struct attempt_hooks
{
    std::function<void(streams::raw_event const&)> event;
    std::function<void(attempt_result, std::string const& reason)> finished;
};

/// One send of a caller's request to one upstream. It reads the answer and tells the table of
/// upstreams what it saw; what follows from the result is decided by its owner.
class upstream_attempt final : public std::enable_shared_from_this<upstream_attempt>
{
public:
    upstream_attempt(gateway_context& context, placed_request placed, bool streaming);

    /// `request` and `body` must outlive the send.
    void start(caller_request const& request, std::string const& body, attempt_hooks hooks);

    /// Stops or resumes reading, so that a slow caller holds the upstream back.
    void pause_reading(bool paused);

    /// Ends the send; its hooks are not called any more. Without a whole answer the connection is
    /// closed.
    void finish(bool keep_connection);

    placed_request const& placement() const { return placement_; }
    /// Whether a part of the answer has come that callers may see.
    bool response_started() const { return response_started_; }
    runtime::http_head const& head() const { return head_; }
    std::string const& body() const { return body_; }

private:
    runtime::call_hooks make_call_hooks(std::string const& request_id);
    void handle_head(runtime::http_head const& head);
    void handle_body(std::string_view bytes);
    void handle_stream_bytes(std::string_view bytes);
    void handle_end();
    void handle_failure(runtime::call_failure kind, std::string const& reason);
    void record_rejection();
    /// The engine has other weights than the request expected.
    void record_version_mismatch();
    void record_first_byte();
    void report_result(attempt_result result, std::string const& reason);
    bool is_stream_response() const;

    gateway_context& context_;
    placed_request placement_;
    bool streaming_;
    std::string model_;
    attempt_hooks hooks_;
    std::unique_ptr<runtime::outbound_connection> connection_;
    runtime::http_head head_;
    response_metadata metadata_;
    std::string body_;
    streams::event_splitter event_splitter_;
    bool response_started_ = false;
    /// The answer can't be trusted.
    bool untrusted_ = false;
};

} // namespace savorymount::gateway
