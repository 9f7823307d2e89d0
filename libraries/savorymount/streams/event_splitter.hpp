#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorymount::streams
{

/// One event of a stream with its bytes as the upstream sent them.
struct raw_event
{
    std::string bytes;
    /// Value of the event's `id` field, if it is a number.
    std::optional<std::uint64_t> id;

    bool operator==(raw_event const&) const = default;
};

/// Cuts a server-sent event stream after its empty lines and keeps every byte, so that the caller
/// gets exactly what the upstream sent and never a part of an event.
class event_splitter
{
public:
    /// Appends each event that `bytes` completes.
    void feed(std::string_view bytes, std::vector<raw_event>& events);

    /// Bytes of an event that is not complete.
    std::string const& pending() const { return pending_; }

private:
    void handle_line_end(std::vector<raw_event>& events);

    std::string pending_;
    std::size_t line_start_ = 0;
    std::size_t scan_position_ = 0;
    std::optional<std::uint64_t> id_;
};

} // namespace savorymount::streams
