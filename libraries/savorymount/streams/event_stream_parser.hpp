#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/streams/stream_event.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace savorymount::streams
{

/// Bounds on what the parser holds at one time.
struct event_stream_limits
{
    std::size_t line_bytes = 64 * 1024;
    std::size_t event_bytes = 256 * 1024;
};

/// Incremental parser of one server-sent event stream. Use one per connection: it keeps the bytes
/// of the event that is still incomplete. The result does not depend on how the input is divided.
class event_stream_parser
{
public:
    explicit event_stream_parser(event_stream_limits limits = {}) : limits_(limits) {}

    /// Consumes `bytes` and appends each complete event to `events`. Returns false and fills
    /// `reason` with `too_large` (line or event above its limit) or `invalid_input` (an `id` that
    /// is no token index, a NUL byte); events before the fault are appended all the same, and
    /// every later call fails with the same reason.
    bool feed(std::string_view bytes, std::vector<stream_event>& events, base::error& reason);

    /// Tells that the input has ended. Returns false and fills `reason` with `invalid_input` if
    /// the input ended within an event, or with the earlier fault.
    bool finish(base::error& reason) const;

    /// Bytes held for the incomplete event.
    std::size_t pending_bytes() const { return raw_.size() + line_.size(); }

private:
    bool end_line(std::string_view ending, std::vector<stream_event>& events);
    bool take_field(std::string_view name, std::string_view value);
    void dispatch(std::vector<stream_event>& events);
    bool fail(base::error_kind kind, std::string message);

    event_stream_limits limits_;
    std::string line_;
    std::string raw_;
    stream_event event_;
    bool has_data_ = false;
    bool has_field_ = false;
    bool first_line_ = true;
    bool skip_line_feed_ = false;
    std::optional<base::error> fault_;
};

} // namespace savorymount::streams
