#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace savorymount::streams
{

/// One server-sent event that carries data.
struct stream_event
{
    /// Token index from the event's own `id` line; not inherited from earlier events.
    std::optional<std::uint64_t> id;
    /// The `data` lines, joined with line feeds.
    std::string data;
    /// The event's lines, including comments and the empty line at its end, each ended by a line
    /// feed whatever ended it on the wire.
    std::string raw;
    /// Tokens of the answer before this event: `id`, or for an event without one, what the events
    /// before it on the same connection say.
    std::uint64_t position = 0;

    bool operator==(stream_event const&) const = default;
};

} // namespace savorymount::streams
