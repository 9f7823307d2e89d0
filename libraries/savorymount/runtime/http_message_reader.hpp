#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/runtime/chunked_body_check.hpp>
#include <savorymount/runtime/http_message.hpp>
#include <savorymount/runtime/response_head_check.hpp>

#include <cstddef>
#include <functional>
#include <http_parser.h>
#include <optional>
#include <string>
#include <string_view>

namespace savorymount::runtime
{

enum class http_message_kind
{
    request,
    response
};

/// What the reader reports about one message, in this order. `body` comes zero or more times.
struct http_message_hooks
{
    std::function<void(http_head const&)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> end;
};

/// Reads the HTTP/1.1 messages of one connection, one at a time. Interim responses are skipped.
/// What `response_rules` do not allow is no response.
class http_message_reader
{
public:
    http_message_reader(http_message_kind kind, std::size_t max_header_bytes,
                        http_message_hooks hooks);
    http_message_reader(http_message_reader const&) = delete;
    http_message_reader& operator=(http_message_reader const&) = delete;

    /// Reads up to the end of the current message and returns the bytes consumed. Empty, with
    /// `too_large` or `invalid_input`, when the input is no valid message.
    std::optional<std::size_t> feed(std::string_view bytes, base::error& reason);

    void set_max_header_bytes(std::size_t n) { max_header_bytes_ = n; }

    /// Whether the next response answers a HEAD request, and so has no body.
    void expect_head_response(bool expected) { expects_head_response_ = expected; }

    /// Tells that the peer closed its side in good order. True if that ends a whole message.
    bool finish();

    /// Whether the response that is being read has neither a length nor chunks, so that it ends
    /// with its connection.
    bool ends_with_connection() const { return inside_ && ends_with_connection_; }

    /// Whether a message has begun and not ended.
    bool inside_message() const { return inside_; }

private:
    static http_message_reader& self(::http_parser* parser);
    static int on_begin(::http_parser* parser);
    static int on_url(::http_parser* parser, char const* at, std::size_t length);
    static int on_field(::http_parser* parser, char const* at, std::size_t length);
    static int on_value(::http_parser* parser, char const* at, std::size_t length);
    static int on_headers_complete(::http_parser* parser);
    static int on_body(::http_parser* parser, char const* at, std::size_t length);
    static int on_complete(::http_parser* parser);
    static ::http_parser_settings make_settings();

    std::optional<std::size_t> execute(std::string_view bytes, base::error& reason);
    /// The same, unless a fault was found.
    std::optional<std::size_t> execute_sound(std::string_view bytes, base::error& reason);
    /// Notes whether the end of the request can be told from its head.
    bool check_request_head();
    /// Notes whether the head of a response is one; see `response_rules`.
    bool check_response_head();
    bool count_header_bytes(std::size_t n);
    bool is_interim() const;

    http_message_kind kind_;
    http_message_hooks hooks_;
    std::size_t max_header_bytes_;
    std::size_t header_bytes_ = 0;
    ::http_parser parser_{};
    ::http_parser_settings settings_;
    http_head head_;
    bool inside_ = false;
    bool head_complete_ = false;
    bool last_was_value_ = true;
    bool too_large_ = false;
    bool expects_head_response_ = false;
    bool ends_with_connection_ = false;
    response_head_check head_check_;
    /// Set while a body in chunks is read.
    std::optional<chunked_body_check> chunk_check_;
    /// Why the message is refused although the parser takes it; empty if it is not.
    std::string fault_;
};

} // namespace savorymount::runtime
