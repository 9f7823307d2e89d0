#pragma once

#include <savorymount/base/time.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <string>

namespace savorymount::stand_ins
{

/// The feed of cache events. Events appear late, and some never.
class cache_events
{
public:
    /// Every `gap_every`-th event is lost; 0 loses none.
    cache_events(base::duration lag, std::uint64_t gap_every) : lag_(lag), gap_every_(gap_every) {}

    void add(std::string const& kind, std::uint64_t block, std::string const& request,
             std::size_t index, base::time_point now);

    /// Loses the next `count` events.
    void drop(std::uint64_t count) { drop_ += count; }

    /// Visible events with a higher sequence number than `after`. `first` is the oldest number
    /// kept, `next` the one that follows the last visible event, lost events included.
    nlohmann::json read(std::uint64_t after, base::time_point now) const;

private:
    struct event
    {
        base::time_point visible;
        nlohmann::json body;
        bool lost;
    };

    base::duration lag_;
    std::uint64_t gap_every_;
    std::uint64_t drop_ = 0;
    std::uint64_t first_ = 1;
    std::deque<event> events_;
};

} // namespace savorymount::stand_ins
