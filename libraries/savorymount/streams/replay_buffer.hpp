#pragma once

#include <savorymount/base/error.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::streams
{

/// Part of a response that covers the positions [position, end): token indexes for event streams,
/// byte offsets for other responses. Events without a token (usage, end) have `position == end`.
struct replay_chunk
{
    std::uint64_t position = 0;
    std::uint64_t end = 0;
    std::string bytes;
    /// True if the last event of the chunk is a token, and for responses that are not event
    /// streams: a receiver at `end` then has the whole chunk. False is always safe.
    bool ends_with_token = false;

    bool operator==(replay_chunk const&) const = default;
};

/// The most recent chunks of one response. The agent keeps them to replay them to an entry that
/// reconnects.
class replay_buffer
{
public:
    /// `start_position` is the position of the first chunk: above zero for a resumed stream.
    explicit replay_buffer(std::size_t capacity_bytes, std::uint64_t start_position = 0)
        : capacity_bytes_(capacity_bytes), first_position_(start_position),
          end_position_(start_position)
    {
    }

    /// Adds the next chunk and removes the oldest ones above the capacity; the newest chunk is
    /// always kept. Fails with `invalid_input` if the chunk does not start where the last one
    /// ended.
    bool append(replay_chunk chunk, base::error& reason);

    /// Returns the chunks from the one that contains `position` or ends there; the receiver drops
    /// the events that it already has. Fails with `not_found` if that part is no longer buffered
    /// and with `invalid_input` if the response does not extend that far yet.
    std::optional<std::vector<replay_chunk>> chunks_from(std::uint64_t position,
                                                         base::error& reason) const;

    /// Removes the chunks that a receiver at `position` has completely.
    void acknowledge(std::uint64_t position);

    /// Lowest position that `chunks_from` accepts. Above `end_position()` if nothing can be
    /// replayed.
    std::uint64_t first_position() const { return first_position_; }

    /// Position after the newest chunk.
    std::uint64_t end_position() const { return end_position_; }

    std::size_t bytes() const { return bytes_; }

private:
    void remove_oldest();

    std::size_t capacity_bytes_;
    std::size_t bytes_ = 0;
    std::uint64_t first_position_;
    std::uint64_t end_position_;
    std::deque<replay_chunk> chunks_;
};

} // namespace savorymount::streams
