#pragma once

#include <savorymount/base/error.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace savorymount::streams
{

/// Token counts that the engine reports at the end of a response.
struct chat_usage
{
    std::uint64_t prompt_tokens = 0;
    std::uint64_t completion_tokens = 0;
    /// Those of `prompt_tokens` that the engine read from its prefix cache.
    std::uint64_t cached_tokens = 0;

    bool operator==(chat_usage const&) const = default;
};

/// Parses `usage` from a complete JSON response. Fails with `not_found` if the document has none
/// (also for `"usage":null`), and with `invalid_input` if it is not JSON or a count is missing,
/// negative, not an integer or inconsistent.
std::optional<chat_usage> parse_chat_usage(std::string_view json, base::error& reason);

/// Parses `usage` from the data of one stream event, and skips the JSON parser for events that
/// can't contain it. Engines report the usage with the last token, or in a separate event with or
/// without an id.
std::optional<chat_usage> parse_event_usage(std::string_view data, base::error& reason);

} // namespace savorymount::streams
