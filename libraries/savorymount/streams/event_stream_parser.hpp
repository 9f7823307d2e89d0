#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/streams/stream_event.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorymount::streams
{

/// Memory limits of the parser.
struct event_stream_limits
{
    std::size_t line_bytes = std::size_t{64} * 1024;
    std::size_t event_bytes = std::size_t{256} * 1024;
};

/// Incremental parser of one server-sent event stream. Use one per connection, because it buffers
/// the incomplete event. The result does not depend on how the input is split into calls.
class event_stream_parser
{
public:
    /// `start_position` is the position of the first chunk of the connection.
    explicit event_stream_parser(event_stream_limits limits = {}, std::uint64_t start_position = 0)
        : limits_(limits), position_(start_position)
    {
    }

    /// Consumes `bytes` and appends each complete event to `events`. Events without data, such as
    /// keep-alive comments, are dropped. Returns false and fills `reason` with `too_large` (line or
    /// event above its limit) or `invalid_input` (an `id` that is not a token index below the
    /// largest 64-bit number, or two in one event). Events before the error are still appended, and
    /// every later call fails with the same reason.
    bool feed(std::string_view bytes, std::vector<stream_event>& events, base::error& reason);

    /// Call at the end of the input. Returns false and fills `reason` with `invalid_input` if
    /// the input ended within an event, or with the earlier error.
    bool finish(base::error& reason) const;

    /// Buffered bytes of the incomplete event.
    std::size_t pending_bytes() const { return raw_lines_.size() + line_.size(); }

private:
    bool append_line_part(std::string_view part);
    void handle_line_end(std::vector<stream_event>& events);
    bool handle_field(std::string_view name, std::string_view value);
    bool handle_id(std::string_view value);
    void handle_event_end(std::vector<stream_event>& events);
    bool fail(base::error_kind kind, std::string message);

    event_stream_limits limits_;
    std::uint64_t position_;
    std::string line_;
    std::string raw_lines_;
    stream_event event_;
    bool has_data_ = false;
    bool has_field_ = false;
    bool first_line_ = true;
    bool skip_line_feed_ = false;
    std::optional<base::error> error_;
};

} // namespace savorymount::streams
