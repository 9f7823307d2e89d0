#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/runtime/http_header.hpp>
#include <savorymount/wire/savorymount.capnp.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::agent
{

/// A request as an entry submitted it.
struct submitted_request
{
    std::string id;
    std::string workspace;
    /// Empty on routes open to all.
    std::string key_id;
    std::string route;
    std::string method;
    std::string target;
    runtime::http_headers headers;
    std::string body;
    bool repeatable = false;
    bool stream = false;
    std::int32_t priority = 0;
    std::optional<base::time_point> deadline;
    std::uint64_t resume_from = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t answer_tokens = 0;
    std::vector<std::uint64_t> blocks;
    std::string model;
    std::string adapter;
    std::string model_version;
    /// Names the same request when a caller sends it again.
    std::string digest;
    /// SHA-256 of the caller's idempotency key; empty for none.
    std::string idempotency_key;

    bool operator==(submitted_request const&) const = default;
};

/// Copies the message; `now` turns the time left into a deadline.
submitted_request read_request(wire::Request::Reader in, base::time_point now);

} // namespace savorymount::agent
