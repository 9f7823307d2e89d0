#include <savorymount/streams/replay_buffer.hpp>

#include <algorithm>

namespace savorymount::streams
{
namespace
{

/// True if a receiver that holds every token below `position` needs nothing of the chunk. A chunk
/// that ends at `position` may end with events without a token, such as the usage, and nobody can
/// tell whether the receiver holds them.
bool lies_below(replay_chunk const& chunk, std::uint64_t position)
{
    return chunk.end < position;
}

} // namespace

bool replay_buffer::append(replay_chunk chunk, base::error& reason)
{
    if (chunk.position != end_ || chunk.end < chunk.position)
    {
        reason = {base::error_kind::invalid_input,
                  "a chunk starts at position " + std::to_string(chunk.position) + " instead of " +
                      std::to_string(end_) + "; append chunks in order"};
        return false;
    }
    end_ = chunk.end;
    bytes_ += chunk.bytes.size();
    chunks_.push_back(std::move(chunk));
    while (bytes_ > capacity_bytes_ && chunks_.size() > 1)
        drop_oldest();
    return true;
}

std::optional<std::vector<replay_chunk>> replay_buffer::from(std::uint64_t position,
                                                             base::error& reason) const
{
    if (position > end_)
    {
        reason = {base::error_kind::invalid_input,
                  "position " + std::to_string(position) + " lies behind the end " +
                      std::to_string(end_) + " of the answer; attach at a position received"};
        return std::nullopt;
    }
    if (position < first_)
    {
        reason = {base::error_kind::not_found,
                  "the answer is held from position " + std::to_string(first_) + " on, not from " +
                      std::to_string(position) + "; resume the stream at another upstream"};
        return std::nullopt;
    }
    auto const it = std::partition_point(chunks_.begin(), chunks_.end(),
                                         [position](replay_chunk const& chunk)
                                         { return lies_below(chunk, position); });
    return std::vector<replay_chunk>(it, chunks_.end());
}

void replay_buffer::release(std::uint64_t position)
{
    while (!chunks_.empty() && lies_below(chunks_.front(), position))
        drop_oldest();
}

void replay_buffer::drop_oldest()
{
    auto const& oldest = chunks_.front();
    first_ = oldest.end + 1;
    bytes_ -= oldest.bytes.size();
    chunks_.pop_front();
}

} // namespace savorymount::streams
