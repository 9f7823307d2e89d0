#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/base/time.hpp>
#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/http_message_reader.hpp>
#include <savorymount/runtime/settings_parser.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <event2/bufferevent.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace savorymount::runtime
{

/// How a call over an outbound connection failed.
enum class call_failure
{
    /// No byte of the request reached the socket.
    not_sent,
    /// The connection was lost, or the response was cut short.
    lost,
    /// The peer sent bytes that are no response to this request.
    malformed
};

/// What a caller learns about its call, in this order. Exactly one of `done` and `failed` comes.
struct call_hooks
{
    std::function<void(http_head const&)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> done;
    std::function<void(call_failure, std::string const& reason)> failed;
    /// Whether a response with this head answers this call; others are skipped. Optional.
    std::function<bool(http_head const&)> answers;
    /// Whether the request may still be sent, asked when a new connection is open. The process may
    /// have been suspended since `call`. Without permission the call fails as `not_sent`. Optional.
    std::function<bool()> may_send;
};

struct outbound_options
{
    network_address address;
    base::duration connect_timeout = std::chrono::milliseconds(300);
    /// How long sent bytes may stay unacknowledged.
    base::duration silence = std::chrono::milliseconds(1500);
    std::size_t max_header_bytes = std::size_t{32} * 1024;
    /// Bytes of one call that belong to no body of its response: heads, interim responses, chunk
    /// sizes and extensions, trailers, and whole responses to other requests. A body allows some
    /// more in proportion to its size, since it may come in small chunks.
    std::size_t max_overhead_bytes = std::size_t{256} * 1024;
};

/// One connection to an upstream or to the store. It carries one call at a time.
class outbound_connection
{
public:
    outbound_connection(event_loop& loop, timer_service& timers, outbound_options options);
    ~outbound_connection();
    outbound_connection(outbound_connection const&) = delete;
    outbound_connection& operator=(outbound_connection const&) = delete;

    /// Sends a serialised request. The connection must be idle. Hooks are called from the loop and
    /// may destroy this object.
    void call(std::string const& head, std::string_view body, call_hooks hooks);

    /// Sends a request whose body is not copied if it is large.
    void call(std::string const& head, std::shared_ptr<std::string const> body, call_hooks hooks);

    /// For the `body` hook: ends the call as malformed, with this reason, after the hook returns.
    /// The connection carries no further call.
    void reject_response(std::string reason) { rejection_ = std::move(reason); }

    /// Stops or resumes reading, so that a slow reader holds the sender back.
    void pause_reading(bool paused);

    /// Whether another call may be made now. False as long as reading is paused.
    bool reusable() const;
    bool connected() const { return connected_; }
    /// Whether another call was made before the present one.
    bool is_reused() const { return calls_ > 1; }
    base::time_point idle_since() const { return idle_since_; }
    /// How long the peer keeps the connection when it is idle, if it said so.
    std::optional<base::duration> announced_idle_time() const { return announced_idle_time_; }

    /// Called when an idle connection ends or gets unexpected bytes.
    void on_idle_end(std::function<void()> hook) { idle_end_ = std::move(hook); }

private:
    static void handle_read(bufferevent*, void* self);
    static void handle_event(bufferevent*, short what, void* self);

    /// Begins a call. False if the connection is broken, in which case the call fails later.
    bool begin_call(std::string const& head, call_hooks hooks);
    /// Runs a callback. If it throws, the call fails, since its state is unknown.
    void run_or_fail(std::function<void()> const& callback);
    void read_input();
    void take_head(http_head const& head);
    void take_body(std::string_view bytes);
    void take_end();
    /// Why the response read so far may not go on; empty if it may.
    std::string rejection_reason() const;
    void fail(call_failure kind, std::string const& reason);
    void handle_connected();
    void peer_closed(bool in_good_order, std::string const& reason);
    /// Whether the peer has not received the whole request yet, as far as the kernel knows.
    bool request_is_under_way() const;
    /// Waits until the peer has received the request, and then ends the response.
    void await_request_end();
    void check_request_end();
    void end_response_with_connection();
    void end_idle();

    timer_service& timers_;
    outbound_options options_;
    bufferevent* buffer_;
    http_message_reader reader_;
    call_hooks hooks_;
    bool connected_ = false;
    bool in_call_ = false;
    std::size_t calls_ = 0;
    bool skipping_ = false;
    bool broken_ = false;
    bool is_paused_ = false;
    bool keep_alive_ = true;
    bool complete_ = false;
    /// Bytes that this call received, and those of them that were delivered as the body.
    std::size_t received_bytes_ = 0;
    std::size_t body_bytes_ = 0;
    /// Set by `reject_response`.
    std::string rejection_;
    base::time_point idle_since_{};
    std::optional<base::duration> announced_idle_time_;
    std::function<void()> idle_end_;
    timer_service::subscription connect_timer_;
    timer_service::subscription request_end_timer_;
    /// Tells a method on the stack that a hook destroyed the object.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace savorymount::runtime
