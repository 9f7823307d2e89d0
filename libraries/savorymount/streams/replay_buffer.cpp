#include <savorymount/streams/replay_buffer.hpp>

#include <algorithm>

namespace savorymount::streams
{
namespace
{

/// Lowest position at which a receiver has the whole chunk. A chunk may end with events without a
/// token, such as the usage; a receiver at the end of such a chunk may lack them.
std::uint64_t first_position_after(replay_chunk const& chunk)
{
    bool const complete_at_end = chunk.ends_with_token && chunk.end > chunk.position;
    return complete_at_end ? chunk.end : chunk.end + 1;
}

} // namespace

bool replay_buffer::append(replay_chunk chunk, base::error& reason)
{
    if (chunk.position != end_position_ || chunk.end < chunk.position)
    {
        reason = {base::error_kind::invalid_input,
                  "a chunk starts at position " + std::to_string(chunk.position) + " instead of " +
                      std::to_string(end_position_) + "; append chunks in order"};
        return false;
    }
    end_position_ = chunk.end;
    bytes_ += chunk.bytes.size();
    chunks_.push_back(std::move(chunk));
    while (bytes_ > capacity_bytes_ && chunks_.size() > 1)
        remove_oldest();
    return true;
}

std::optional<std::vector<replay_chunk>> replay_buffer::chunks_from(std::uint64_t position,
                                                                    base::error& reason) const
{
    if (position > end_position_)
    {
        reason = {base::error_kind::invalid_input,
                  "position " + std::to_string(position) + " is after the end " +
                      std::to_string(end_position_) +
                      " of the response; attach at a position that was received"};
        return std::nullopt;
    }
    if (position < first_position_)
    {
        reason = {base::error_kind::not_found, "the response is buffered from position " +
                                                   std::to_string(first_position_) +
                                                   " on, not from " + std::to_string(position) +
                                                   "; resume the stream at another upstream"};
        return std::nullopt;
    }
    auto const it = std::partition_point(chunks_.begin(), chunks_.end(),
                                         [position](replay_chunk const& chunk)
                                         { return first_position_after(chunk) <= position; });
    return std::vector<replay_chunk>(it, chunks_.end());
}

void replay_buffer::acknowledge(std::uint64_t position)
{
    while (!chunks_.empty() && first_position_after(chunks_.front()) <= position)
        remove_oldest();
}

void replay_buffer::remove_oldest()
{
    auto const& oldest = chunks_.front();
    first_position_ = first_position_after(oldest);
    bytes_ -= oldest.bytes.size();
    chunks_.pop_front();
}

} // namespace savorymount::streams
