#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/routing/prompt_parts.hpp>
#include <savorymount/routing/upstream_table.hpp>
#include <savorymount/runtime/http_message.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace savorymount::gateway
{

/// A caller's request, decoded.
struct caller_request
{
    /// Names one attempt of the caller.
    std::string id;
    std::string host;
    std::string method;
    /// Path and query as received.
    std::string target;
    std::optional<std::string> api_key;
    /// How long the caller waits from now on.
    std::optional<base::duration> timeout;
    std::optional<routing::prompt_description> prompt;
    /// The caller has the events of a stream up to this one.
    std::optional<std::uint64_t> last_event_id;
    /// Header fields that go to the upstream unchanged.
    runtime::http_headers forwarded_headers;

    bool operator==(caller_request const&) const = default;
};

/// How the parts of a prompt are handled by the engine.
struct engine_options
{
    std::uint64_t expected_weight_version = 0;
    std::string cache_salt;
    /// Where missing parts are fetched; empty for nowhere.
    std::string source_address;
    /// Where parts are sent once they are read; empty for nowhere.
    std::string cache_store_address;

    bool operator==(engine_options const&) const = default;
};

/// What goes to an upstream beside the caller's own header fields and body.
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

/// What an upstream's answer says besides its status and body.
struct response_metadata
{
    /// Id of the request that it answers.
    std::string request_id;
    /// The upstream that answered, if it says so.
    std::string upstream;
    /// The upstream vouches for the answer.
    bool stamped = false;
    /// The upstream did not run the request and never will.
    bool not_executed = false;
    /// Another upstream or weight version was expected.
    bool misdirected = false;
    std::optional<routing::reported_load> load;
    /// Weight version that the answer was made with.
    std::optional<std::uint64_t> weight_version;

    bool operator==(response_metadata const&) const = default;
};

} // namespace savorymount::gateway
