#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace savorymount::streams
{

/// One server-sent event that carries data.
struct stream_event
{
    /// Token index from the event's own `id` line, not that of an earlier event.
    std::optional<std::uint64_t> id;
    /// The `data` lines, joined with line feeds.
    std::string data;
    /// The event's lines, including comments and the empty line at the end. All line ends are
    /// normalised to line feeds.
    std::string raw;
    /// Number of tokens in the response before this event: its `id`, or if it has none, the
    /// position after the previous event on the same connection.
    std::uint64_t position = 0;

    bool operator==(stream_event const&) const = default;
};

} // namespace savorymount::streams
