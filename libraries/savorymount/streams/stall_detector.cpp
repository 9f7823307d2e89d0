#include <savorymount/streams/stall_detector.hpp>

#include <algorithm>

namespace savorymount::streams
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration min_patience = 1500ms;
constexpr int patience_in_target_gaps = 4;
// An event may take this many times longer than any event before it.
constexpr int patience_in_event_times = 4;

} // namespace

void stall_detector::bytes_arrived(base::time_point now)
{
    if (!event_began_at_)
        event_began_at_ = now;
}

void stall_detector::event_completed(base::time_point now)
{
    if (event_began_at_)
        longest_event_time_ = std::max(longest_event_time_, now - *event_began_at_);
    event_began_at_.reset();
}

bool stall_detector::stalled(base::time_point now) const
{
    auto const patience = std::max({min_patience, target_gap_ * patience_in_target_gaps,
                                    longest_event_time_ * patience_in_event_times});
    return event_began_at_ && now - *event_began_at_ > patience;
}

} // namespace savorymount::streams
