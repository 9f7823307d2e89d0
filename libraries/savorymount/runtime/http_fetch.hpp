#pragma once

#include <savorymount/runtime/http_call.hpp>

#include <functional>
#include <optional>
#include <string>

namespace savorymount::runtime
{

/// A whole answer to a small request.
struct http_answer
{
    int status = 0;
    http_headers headers;
    std::string body;

    bool operator==(http_answer const&) const = default;
};

using fetch_done = std::function<void(std::optional<http_answer>, std::optional<http_failure>)>;

/// Sends one request and hands on the whole answer, at most `max_body_bytes` long. `done` is called
/// once, from the loop. Every status counts as an answer.
void http_fetch(event_loop& loop, http_call_request request, std::size_t max_body_bytes,
                fetch_done done);

} // namespace savorymount::runtime
