#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/runtime/http_header.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace savorymount::runtime
{

/// Request line or status line and the header fields of one HTTP/1.1 message.
struct http_head
{
    /// Empty for a response.
    std::string method;
    /// Path and query as received; empty for a response.
    std::string target;
    /// 0 for a request.
    int status = 0;
    http_headers headers;
    /// Whether another message may follow on the connection.
    bool keep_alive = true;
    /// Whether the client waits for `100 Continue` before it sends the body.
    bool expects_continue = false;
    /// Whether the sender reads bodies in chunks, as from HTTP/1.1 on.
    bool reads_chunks = true;
    /// Declared length of the body in bytes; empty for chunked and unframed bodies.
    std::optional<std::uint64_t> content_length;

    bool operator==(http_head const&) const = default;
};

/// A whole request as a server received it.
struct http_request
{
    http_head head;
    std::string body;
    /// When the head arrived, if the body followed later.
    std::optional<base::time_point> head_arrived_at = std::nullopt;
    /// Owns the memory that was reserved for the body; null if none was.
    std::shared_ptr<void> memory = nullptr;

    bool operator==(http_request const&) const = default;
};

/// Whether a response with this status never has a body, whatever its header says.
bool has_no_body(int status);

/// Whether the field concerns only one connection and must not be forwarded.
bool is_hop_by_hop(std::string_view name);

/// Names that the `Connection` fields of `headers` list as concerning only this connection.
std::vector<std::string> connection_options(http_headers const& headers);

/// `headers` without those that concern only one connection.
http_headers end_to_end_headers(http_headers const& headers);

/// The serialised fields, without the empty line that ends a head.
std::string serialize_fields(http_headers const& headers);

/// The serialised head of a request, its final empty line included. `fields` are serialised fields
/// that stand before `headers`.
std::string serialize_request_head(std::string const& method, std::string const& target,
                                   http_headers const& headers, std::string_view fields = {});

/// The serialised head of a response, its final empty line included.
std::string serialize_response_head(int status, http_headers const& headers);

} // namespace savorymount::runtime
