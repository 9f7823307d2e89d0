#pragma once

#include <savorymount/base/error.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace savorymount::streams
{

/// Token counts that the engine reports at the end of an answer.
struct chat_usage
{
    std::uint64_t prompt_tokens = 0;
    std::uint64_t completion_tokens = 0;
    /// Part of `prompt_tokens` that the engine took from its cache.
    std::uint64_t cached_tokens = 0;

    bool operator==(chat_usage const&) const = default;
};

/// Reads `usage` from a whole JSON answer. Fails with
/// `not_found` if the document holds none (also for `"usage":null`), and with `invalid_input` if it
/// is not JSON or a count is missing, negative, not an integer or contradictory.
std::optional<chat_usage> parse_chat_usage(std::string_view json, base::error& reason);

/// Same for the data of one stream event, without the cost of parsing the events that can't hold
/// a usage. Engines report it with the last token, or in an event of its own with or without an id.
std::optional<chat_usage> parse_event_usage(std::string_view data, base::error& reason);

} // namespace savorymount::streams
