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
};

struct outbound_options
{
    network_address address;
    base::duration connect_timeout = std::chrono::milliseconds(300);
    /// How long sent bytes may stay unacknowledged.
    base::duration silence = std::chrono::milliseconds(1500);
    std::size_t max_header_bytes = std::size_t{32} * 1024;
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
    void call(std::string head, std::string_view body, call_hooks hooks);

    /// Stops or resumes reading, so that a slow reader holds the sender back.
    void pause_reading(bool paused);

    /// Whether another call may be made now.
    bool reusable() const;
    bool connected() const { return connected_; }
    base::time_point idle_since() const { return idle_since_; }
    /// How long the peer keeps the connection when it is idle, if it said so.
    std::optional<base::duration> announced_idle_time() const { return announced_idle_time_; }

    /// Called when an idle connection ends or gets unexpected bytes.
    void on_idle_end(std::function<void()> hook) { idle_end_ = std::move(hook); }

private:
    static void handle_read(bufferevent*, void* self);
    static void handle_event(bufferevent*, short what, void* self);

    void read_input();
    void take_head(http_head const& head);
    void take_end();
    void fail(call_failure kind, std::string const& reason);
    void peer_closed(bool in_good_order, std::string const& reason);
    void end_idle();

    timer_service& timers_;
    outbound_options options_;
    bufferevent* buffer_;
    http_message_reader reader_;
    call_hooks hooks_;
    bool connected_ = false;
    bool in_call_ = false;
    bool skipping_ = false;
    bool broken_ = false;
    bool keep_alive_ = true;
    bool complete_ = false;
    base::time_point idle_since_{};
    std::optional<base::duration> announced_idle_time_;
    std::function<void()> idle_end_;
    timer_service::subscription connect_timer_;
    /// Tells a method on the stack that a hook destroyed the object.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace savorymount::runtime
