#include <savorymount/routing/engine_estimate.hpp>

#include <algorithm>

namespace savorymount::routing
{
namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t min_pace_percent = 10;
constexpr std::uint32_t max_pace_percent = 2000;
// The pace changes many times a second.
constexpr base::duration pace_lifetime = 50ms;
constexpr double pace_smoothing = 0.1;
constexpr base::duration min_gap = 100us;
constexpr base::duration max_gap = 5s;
constexpr std::uint32_t min_gaps = 8;
// A low quantile: pauses while the engine reads a prompt say little about its speed.
constexpr double gap_quantile = 0.3;
// Relative change of the quantile by one pause.
constexpr double quantile_step = 0.1;

} // namespace

void engine_estimate::record_event_gap(base::time_point now, base::duration gap)
{
    if (gap < min_gap || gap > max_gap)
        return;
    auto const usual_us = static_cast<double>(gap.count()) / pace(now);
    if (gaps_ < min_gaps)
        ++gaps_;
    if (usual_gap_us_ <= 0)
        usual_gap_us_ = usual_us;
    else
        usual_gap_us_ *=
            1 + quantile_step * (usual_us > usual_gap_us_ ? gap_quantile : gap_quantile - 1);
}

void engine_estimate::record_pace(base::time_point now, std::uint32_t percent)
{
    if (percent < min_pace_percent || percent > max_pace_percent)
        return;
    last_pace_ = percent / 100.0;
    mean_pace_ += pace_smoothing * (last_pace_ - mean_pace_);
    paced_at_ = now;
}

std::optional<base::duration> engine_estimate::usual_event_gap() const
{
    if (gaps_ < min_gaps)
        return std::nullopt;
    return base::duration(static_cast<std::int64_t>(usual_gap_us_));
}

double engine_estimate::pace(base::time_point now) const
{
    bool const is_fresh = paced_at_ && now - *paced_at_ <= pace_lifetime;
    return is_fresh ? last_pace_ : mean_pace_;
}

} // namespace savorymount::routing
