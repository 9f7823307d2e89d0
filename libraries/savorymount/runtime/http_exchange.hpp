#pragma once

#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/http_header.hpp>
#include <savorymount/runtime/http_limits.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace savorymount::runtime
{

/// One request that a server received and its response. After the caller has gone, or after the
/// response is complete, further calls do nothing. Hooks are called from the event loop, never
/// from inside a call of this class.
class http_exchange final : public std::enable_shared_from_this<http_exchange>
{
public:
    /// `ended` is called once when the response is sent or the connection is closed.
    http_exchange(event_loop& loop, evhttp_request* request, http_limits const& limits,
                  std::function<void(http_exchange const&)> ended);
    ~http_exchange();
    http_exchange(http_exchange const&) = delete;
    http_exchange& operator=(http_exchange const&) = delete;

    std::string const& method() const { return method_; }

    /// Path and query as received.
    std::string const& target() const { return target_; }

    http_headers const& headers() const { return headers_; }

    std::string const& body() const { return body_; }

    /// Sends a whole response. `Content-Length` and `Transfer-Encoding` in `headers` are dropped.
    void respond(int status, http_headers const& headers, std::string_view body);

    /// Sends the head of a response in parts: in chunks, or without framing to a caller of
    /// HTTP/1.0, for whom the body ends with the connection.
    void start(int status, http_headers const& headers);

    /// Makes `start` send the response as to a caller of HTTP/1.0.
    void end_body_with_connection();

    /// Sends one part after `start`.
    void write(std::string_view bytes);

    /// Bytes of the response that the connection has not accepted yet.
    std::size_t buffered_bytes() const;

    /// Calls `hook` once when few bytes are buffered; at once if that is so already. Replaces an
    /// earlier hook that has not been called.
    void when_drained(std::function<void()> hook);

    /// Ends a response in parts.
    void finish();

    /// Sends what is buffered and closes the connection without the end of the response, so that
    /// the caller sees a truncated body. A caller of HTTP/1.0 sees a reset.
    void abort();

    /// Calls `hook` when the connection is lost before `respond`, `finish` or `abort`.
    void on_close(std::function<void()> hook);

    /// Closes the connection after this response instead of waiting for another request.
    void close_connection_afterwards();

private:
    static void handle_output(evbuffer* buffer, evbuffer_cb_info const* info, void* self);
    static void handle_close(evhttp_connection* connection, void* self);
    static void handle_sent(evhttp_request* request, void* self);

    void watch_connection();
    void add_headers(http_headers const& headers);
    void run_drained_hook();
    void close_connection_later();
    void reset_connection();
    void end();

    event_loop& loop_;
    http_limits limits_;
    std::function<void(http_exchange const&)> ended_;
    evhttp_request* request_;
    evhttp_connection* connection_;
    evbuffer_cb_entry* output_watch_ = nullptr;
    bool started_ = false;
    bool aborting_ = false;
    bool reads_chunks_;
    std::string method_;
    std::string target_;
    http_headers headers_;
    std::string body_;
    std::function<void()> drained_;
    std::function<void()> closed_;
};

} // namespace savorymount::runtime
