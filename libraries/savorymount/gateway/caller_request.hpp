#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/routing/prompt_parts.hpp>
#include <savorymount/routing/upstream_table.hpp>
#include <savorymount/runtime/http_message.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::gateway
{

/// A caller's request, decoded.
struct caller_request
{
    /// Unique for each attempt of the caller.
    std::string id;
    std::string host;
    std::string method;
    /// Path and query as received.
    std::string target;
    std::optional<std::string> api_key;
    /// Time until the caller stops waiting.
    std::optional<base::duration> timeout;
    std::optional<routing::prompt_description> prompt;
    /// Id of the last stream event that the caller received.
    std::optional<std::uint64_t> last_event_id;
    /// Id of the request that brought the first event of the stream that this one resumes.
    std::optional<std::string> resumes;
    /// Header fields that go to the upstream unchanged, serialized: many short ones take far more
    /// memory than their bytes while the request runs.
    std::string forwarded_fields;

    bool operator==(caller_request const&) const = default;
};

/// What the request occupies while it runs, in bytes.
std::size_t memory_of(caller_request const& request);

/// Ids of the prompt parts that other requests may share: all but the last one, which is specific
/// to the request.
std::vector<std::string> shared_part_ids(caller_request const& request);

/// Options of a request that only language-model engines take.
struct engine_options
{
    std::uint64_t expected_weight_version = 0;
    std::string cache_salt;
    /// Engine or cache store to fetch cached prompt parts from; empty to fetch none.
    std::string source_address;
    /// Cache store to write the prompt parts to after prefill; empty to write none.
    std::string cache_store_address;
    /// The engine at the source address; empty for the cache store.
    std::string source_engine;

    bool operator==(engine_options const&) const = default;
};

/// What the gateway adds to the caller's header fields and body.
struct upstream_request
{
    std::string upstream;
    std::string workspace;
    base::duration timeout{};
    std::int32_t priority = 0;
    std::size_t body_bytes = 0;
    std::optional<std::uint64_t> last_event_id;
    std::optional<engine_options> engine;

    bool operator==(upstream_request const&) const = default;
};

/// What the header of an upstream's response says.
struct response_metadata
{
    /// Id of the request that the response belongs to.
    std::string request_id;
    /// The upstream that responded; empty if the response does not name it.
    std::string upstream;
    /// The response has the stamp that only an upstream adds.
    bool stamped = false;
    /// The upstream did not execute the request and never will.
    bool not_executed = false;
    /// The request was meant for another upstream or weight version.
    bool misdirected = false;
    std::optional<routing::server_load> load;
    /// Weight version that produced the response.
    std::optional<std::uint64_t> weight_version;
    /// Requests a second that the upstream takes from all instances together; empty if it names no
    /// limit.
    std::optional<double> request_limit;
    /// The upstream is shutting down.
    bool leaving = false;
    /// The upstream rejected the request and wants no other one from this instance for so long.
    std::optional<base::duration> unavailable_for;

    bool operator==(response_metadata const&) const = default;
};

} // namespace savorymount::gateway
