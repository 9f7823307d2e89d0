#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorymount::streams
{

/// One event of a stream with its original bytes.
struct raw_event
{
    std::string bytes;
    /// Value of the event's `id` field, if it is a number.
    std::optional<std::uint64_t> id;

    bool operator==(raw_event const&) const = default;
};

/// Splits a server-sent event stream into events without changing any byte, so that events can be
/// forwarded exactly as the upstream sent them and never in part.
class event_splitter
{
public:
    /// Adds `bytes` to the input and appends each completed event to `events`.
    void feed(std::string_view bytes, std::vector<raw_event>& events);

    /// Bytes of the incomplete event at the end of the input.
    std::string const& pending() const { return pending_; }

private:
    void handle_line_end(std::vector<raw_event>& events);

    std::string pending_;
    std::size_t line_start_ = 0;
    std::size_t scan_position_ = 0;
    std::optional<std::uint64_t> id_;
};

} // namespace savorymount::streams
