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
    /// The event as received, including the empty line that ends it and preceding comments.
    std::string raw;

    bool operator==(stream_event const&) const = default;
};

} // namespace savorymount::streams
