#pragma once

#include <savorymount/base/time.hpp>

#include <optional>

namespace savorymount::streams
{

/// Decides when a stream counts as stalled although bytes of it arrive. Only whole events are
/// progress: an upstream that sends a byte now and then, but completes no event, makes none.
///
/// Silence is no stall: an upstream that sends nothing may only be paused, and its work goes on
/// when it runs again. The patience follows the stream's own pace.
class stall_detector
{
public:
    /// `target_gap` is the longest pause between two events that the route aims for; 0 if it has
    /// no such target.
    explicit stall_detector(base::duration target_gap) : target_gap_(target_gap) {}

    /// Bytes arrived, and an event is incomplete.
    void bytes_arrived(base::time_point now);
    /// At least one event was completed. Call it before `bytes_arrived` for bytes behind the event.
    void event_completed(base::time_point now);

    /// Whether bytes of the current event still arrive later than its upstream's pace explains.
    bool stalled(base::time_point now) const;

private:
    base::duration target_gap_;
    base::duration longest_event_time_{};
    /// When the first byte of the incomplete event arrived.
    std::optional<base::time_point> event_began_at_;
};

} // namespace savorymount::streams
