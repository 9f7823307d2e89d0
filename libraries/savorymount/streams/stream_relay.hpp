#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/streams/chat_usage.hpp>
#include <savorymount/streams/stream_event.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace savorymount::streams
{

/// Forwards one streamed response to the caller. It stays in use across connections and upstreams
/// (sources of the response): the caller gets each event once and in order.
class stream_relay
{
public:
    /// Appends `event.raw` to `output` unless the event was already forwarded. Duplicates (tokens
    /// below the position, repeated usage or end events) are dropped without an error. Returns
    /// false and fills `reason`, with nothing appended, if the source can't be used any longer:
    /// `invalid_input` for a gap, an event that is neither token, usage nor end, a token after the
    /// usage or an end before it; `unavailable` for an error event of the upstream; `conflict`
    /// after `abort`. Another source may then continue from `position()`.
    bool forward(stream_event const& event, std::string& output, base::error& reason);

    /// Index of the next token: the number of token events forwarded, a usage event with an id
    /// included.
    std::uint64_t position() const { return position_; }

    /// True once the usage and then `[DONE]` were forwarded.
    bool complete() const { return complete_; }

    /// True after `abort`.
    bool aborted() const { return aborted_; }

    /// Token counts of the usage event; no value before it was forwarded.
    std::optional<chat_usage> const& usage() const { return usage_; }

    /// Ends a stream that can't be continued. Returns the error event for the caller, whose
    /// `execution` is `partial` after the first token and `unknown` before it, or an empty string
    /// if the stream is already complete or aborted. Afterwards `forward` fails. The caller of this
    /// function writes the event and closes the response without the final chunk.
    std::string abort(base::error const& cause);

private:
    bool forward_token(stream_event const& event, base::error& reason);
    bool forward_usage(stream_event const& event, base::error& reason);
    bool forward_end(base::error& reason);
    bool is_duplicate(stream_event const& event) const;

    std::uint64_t position_ = 0;
    std::optional<chat_usage> usage_;
    bool complete_ = false;
    bool aborted_ = false;
};

} // namespace savorymount::streams
