#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/configuration/client_limits.hpp>
#include <savorymount/runtime/http_message_reader.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <event2/bufferevent.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace savorymount::runtime
{

class inbound_connection;

/// What a connection of a client reports and asks.
struct inbound_hooks
{
    std::function<void(std::shared_ptr<inbound_connection>, http_request&&)> request;
    /// The head of a request has arrived and its body has not, at least not whole. Nothing more is
    /// read until `read_body` or `refuse_body` is called. Without this hook, all bodies are read.
    std::function<void(std::shared_ptr<inbound_connection>, http_head const&)> body_announced;
    /// Bytes have arrived, or a request was handed over.
    std::function<void(inbound_connection const&)> input_read = nullptr;
    /// The connection is closed; called once.
    std::function<void(inbound_connection const&)> closed;
    std::function<configuration::client_limits()> limits;
    /// Whether the process is shutting down and keeps no connection after its next response.
    std::function<bool()> draining;
};

/// One connection of a client. It hands over one whole request at a time and takes its response;
/// calls after the client has gone do nothing.
class inbound_connection final : public std::enable_shared_from_this<inbound_connection>
{
public:
    inbound_connection(event_loop& loop, timer_service& timers, evutil_socket_t socket,
                       inbound_hooks hooks);
    ~inbound_connection();
    inbound_connection(inbound_connection const&) = delete;
    inbound_connection& operator=(inbound_connection const&) = delete;

    /// Reads the body that was announced, whose request then owns `memory`.
    void read_body(std::shared_ptr<void> memory);
    /// Responds without reading the body that was announced, and closes the connection.
    void refuse_body(int status, http_headers headers, std::string_view body);
    /// Largest body that is accepted.
    std::size_t max_body_bytes() const { return limits().max_body_bytes; }

    /// Sends a whole response.
    void respond(int status, http_headers headers, std::string_view body);

    /// Sends the head of a response in parts: in chunks, or without framing to a client of
    /// HTTP/1.0.
    void start(int status, http_headers headers);
    /// Sends one part after `start`.
    void write(std::string_view bytes);
    /// Ends a response in parts.
    void finish();
    /// Closes the connection without the end of the response.
    void abort();

    /// Called once if the client leaves before its response is complete.
    void on_gone(std::function<void()> hook) { gone_ = std::move(hook); }

    /// Called once if the server ends before the response is complete.
    void on_interrupted(std::function<void()> hook) { interrupted_ = std::move(hook); }
    /// The server ends; the request that awaits its response is answered or cut off.
    void interrupt();

    /// Bytes of the response that the local socket has not accepted yet.
    std::size_t buffered_bytes() const;
    /// Calls `hook` once when all bytes have been handed to the socket.
    void when_drained(std::function<void()> hook) { drained_ = std::move(hook); }

    /// Whether a request awaits its response.
    bool busy() const { return phase_ == phase::responding; }
    /// Whether no request has begun and the client's side has all of the last response.
    bool idle() const { return phase_ == phase::waiting && unsent_bytes() == 0; }
    /// Bytes of responses that the client's side has not accepted yet.
    std::size_t unsent_bytes() const;
    base::time_point opened_at() const { return opened_at_; }
    /// When bytes last arrived, or the connection was opened.
    base::time_point received_at() const { return received_at_; }
    /// Memory of the head of a request that has not arrived whole.
    std::size_t head_memory() const;
    /// Whether bytes of a request have arrived that were not read yet.
    bool has_unread_input() const;
    void close();
    /// Applies changed limits to what the connection waits for now.
    void limits_changed();

private:
    enum class phase
    {
        waiting,
        receiving,
        responding,
        /// The response is complete; the connection ends once the client has accepted it and has
        /// closed its side.
        lingering,
        closed
    };

    /// How far the decision about the body of the current request is.
    enum class body_state
    {
        /// No head, or nothing is to be decided.
        unannounced,
        head_arrived,
        /// The hook was called and has not decided yet.
        held,
        reading
    };

    enum class body_framing
    {
        none,
        chunks,
        /// The body ends with the connection.
        connection_end
    };

    static void handle_read(bufferevent*, void* self);
    static void handle_write(bufferevent*, void* self);
    static void handle_event(bufferevent*, short what, void* self);

    void read_input();
    base::error body_too_large() const;
    void take_head(http_head const& head);
    void take_body(std::string_view bytes);
    void announce_body();
    void discard_input();
    void take_request();
    /// Forgets the request that is being received and frees its memory.
    void drop_request();
    void reject(base::error const& reason);
    void end_response();
    void linger();
    /// Starts to wait for the client to accept what was sent.
    void await_output();
    /// Goes on once the local socket has accepted the whole response.
    void output_drained();
    /// Whether the client still accepts the output of a complete response.
    bool accepts_output();
    /// Sets how long the client may leave bytes unacknowledged.
    void allow_silence(base::duration silence);
    base::duration remaining_idle_time() const;
    void handle_end(short what);
    configuration::client_limits limits() const { return hooks_.limits(); }
    void arm(base::duration delay);
    void timed_out();
    http_headers framed(http_headers headers);
    /// Resets the connection when it is closed. To the client, an orderly close would end the
    /// response.
    void reset_if_unframed();
    void send(std::string_view bytes);

    timer_service& timers_;
    inbound_hooks hooks_;
    bufferevent* buffer_;
    http_message_reader reader_;
    base::time_point opened_at_;
    base::time_point received_at_;
    /// Complete answers since the client last accepted all output.
    std::size_t unread_answers_ = 0;
    /// Bytes of an incomplete head, and memory of a complete one.
    std::size_t head_bytes_ = 0;
    std::size_t head_memory_ = 0;
    phase phase_ = phase::waiting;
    http_request request_;
    body_state body_state_ = body_state::unannounced;
    /// Bytes of a refused body that may still be discarded before the connection is closed.
    std::size_t discardable_bytes_ = 0;
    bool complete_ = false;
    bool keep_alive_ = true;
    /// How the body of the current response is sent.
    body_framing framing_ = body_framing::none;
    bool answers_head_ = false;
    bool reads_chunks_ = true;
    std::optional<base::error> refusal_;
    /// When the client last accepted bytes, and how many it had not accepted then.
    base::time_point output_advanced_at_;
    std::size_t last_unsent_bytes_ = 0;
    base::time_point idle_since_;
    base::duration allowed_silence_;
    bool client_ended_ = false;
    std::function<void()> gone_;
    std::function<void()> interrupted_;
    std::function<void()> drained_;
    timer_service::subscription timeout_;
};

} // namespace savorymount::runtime
