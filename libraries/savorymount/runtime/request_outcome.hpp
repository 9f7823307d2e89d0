#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/base/time.hpp>
#include <savorymount/wire/savorymount.capnp.h>

#include <cstdint>
#include <string>

namespace savorymount::runtime
{

/// How an agent ended a request.
struct request_outcome
{
    enum class kind
    {
        completed,
        /// The request did not run at this agent.
        refused,
        /// The request may have run, or ran in part.
        failed
    };

    kind end = kind::failed;
    base::error reason;
    /// Of a completed request.
    std::uint64_t prompt_tokens = 0;
    std::uint64_t answer_tokens = 0;
    std::uint64_t cached_tokens = 0;
    /// Of a refusal: zero when waiting does not help.
    base::duration retry_after{};
    bool retry_elsewhere = false;
    /// Of a refusal because of an idempotency key: where the winning request is.
    std::string attach_instance;
    std::string attach_request;
    /// Of a failure.
    std::uint64_t position = 0;
    bool crashed = false;
    /// Leading blocks of the request that the engine holds now.
    std::uint32_t held_blocks = 0;

    bool operator==(request_outcome const&) const = default;
};

/// Writes everything but the load.
void write_outcome(request_outcome const& outcome, wire::Outcome::Builder out);

request_outcome read_outcome(wire::Outcome::Reader in);

/// The kind with this name; `internal` for an unknown one.
base::error_kind parse_error_kind(std::string_view name);

} // namespace savorymount::runtime
