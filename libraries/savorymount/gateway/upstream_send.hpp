#pragma once

#include <savorymount/gateway/caller_request.hpp>
#include <savorymount/gateway/flow_services.hpp>
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
enum class send_result
{
    /// A whole answer that is no stream, whatever its status.
    answered,
    /// A stream came to its end.
    stream_ended,
    /// No byte reached the upstream.
    not_sent,
    /// The upstream said that it did not run the request.
    rejected,
    /// The connection broke; the request may have run.
    lost,
    /// The answer is not whole or not the upstream's; the request may have run.
    unusable
};

/// What a send reports. `ended` comes once, last, and may finish the send.
struct send_hooks
{
    std::function<void(streams::raw_event const&)> event;
    std::function<void(send_result, std::string const& reason)> ended;
};

/// One send of a caller's request to one upstream. It reads the answer and tells the table of
/// upstreams what it saw; what follows from the result is decided by its owner.
class upstream_send final : public std::enable_shared_from_this<upstream_send>
{
public:
    upstream_send(flow_services& services, placed_request placed, bool streaming);

    /// `request` and `body` must outlive the send.
    void start(caller_request const& request, std::string const& body, send_hooks hooks);

    /// Stops or resumes reading, so that a slow caller holds the upstream back.
    void pause_reading(bool paused);

    /// Ends the send; its hooks are not called any more. Without a whole answer the connection is
    /// closed.
    void finish(bool keep_connection);

    placed_request const& placed() const { return placed_; }
    /// Whether a part of the answer has come that callers may see.
    bool answered() const { return answered_; }
    runtime::http_head const& head() const { return head_; }
    std::string const& body() const { return body_; }

private:
    runtime::call_hooks make_call_hooks(std::string const& request_id);
    void take_head(runtime::http_head const& head);
    void take_body(std::string_view bytes);
    void take_events(std::string_view bytes);
    void take_end();
    void take_failure(runtime::call_failure kind, std::string const& reason);
    void note_rejection();
    /// The engine has other weights than the request expected.
    void note_other_weights();
    void note_answer();
    void report(send_result result, std::string const& reason);
    bool is_stream_answer() const;

    flow_services& services_;
    placed_request placed_;
    bool streaming_;
    std::string model_;
    send_hooks hooks_;
    std::unique_ptr<runtime::outbound_connection> connection_;
    runtime::http_head head_;
    answer_facts facts_;
    std::string body_;
    streams::event_splitter events_;
    bool answered_ = false;
    /// The answer can't be trusted.
    bool foreign_ = false;
};

} // namespace savorymount::gateway
