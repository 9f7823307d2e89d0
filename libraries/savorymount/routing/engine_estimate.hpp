#pragma once

#include <savorymount/base/time.hpp>

#include <cstdint>
#include <optional>

namespace savorymount::routing
{

/// What one process of an engine has shown of its speed to this instance. It is dropped when the
/// engine restarts.
class engine_estimate
{
public:
    /// Records the pause between two events of one stream.
    void record_event_gap(base::time_point now, base::duration gap);

    /// Records the duration of work that the engine tells, in percent of its usual one. Values that
    /// no machine can mean are ignored.
    void record_pace(base::time_point now, std::uint32_t percent);

    /// Usual pause between two events at the engine's usual pace; empty before enough of them.
    std::optional<base::duration> usual_event_gap() const;

    /// Duration of work now, 1 being usual: the latest value while it is fresh, then the mean.
    double pace(base::time_point now) const;

    /// Whether the engine has told its pace.
    bool tells_pace() const { return paced_at_.has_value(); }

    bool operator==(engine_estimate const&) const = default;

private:
    double usual_gap_us_ = 0;
    std::uint32_t gaps_ = 0;
    double last_pace_ = 1;
    double mean_pace_ = 1;
    std::optional<base::time_point> paced_at_;
};

} // namespace savorymount::routing
