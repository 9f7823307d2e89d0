#include <savorymount/queueing/demand_meter.hpp>

#include <algorithm>
#include <cmath>

namespace savorymount::queueing
{
namespace
{

using namespace std::chrono_literals;

/// Time over which an arrival loses its weight.
constexpr base::duration arrival_memory = 2s;
/// Weight of one more request in the mean time at an engine.
constexpr double held_weight = 0.1;

double seconds(base::duration time)
{
    return std::chrono::duration<double>(time).count();
}

double decay(base::duration elapsed)
{
    return std::exp(-seconds(std::max(elapsed, base::duration::zero())) / seconds(arrival_memory));
}

} // namespace

void demand_meter::arrived(base::time_point now, std::int32_t urgency)
{
    auto& it = by_urgency_[urgency];
    it.arrivals = it.arrivals * decay(now - it.updated_at) + 1;
    it.updated_at = now;
}

void demand_meter::began(std::int32_t urgency)
{
    ++by_urgency_[urgency].running;
    ++running_;
}

void demand_meter::ended(std::int32_t urgency, base::duration held)
{
    auto& it = by_urgency_[urgency];
    if (it.running == 0)
        return;
    --it.running;
    --running_;
    auto const change = static_cast<double>((held - it.held).count()) * held_weight;
    it.held = it.held == base::duration::zero()
                  ? held
                  : it.held + base::duration(static_cast<std::int64_t>(change));
}

double demand_meter::reserve_for(base::time_point now, std::int32_t urgency) const
{
    double out = 0;
    for (auto const& [more_urgent, it] : by_urgency_)
    {
        if (more_urgent >= urgency)
            break;
        auto const arrivals = it.arrivals * decay(now - it.updated_at);
        auto const mean = arrivals / seconds(arrival_memory) * seconds(it.held);
        // Without agreement on when they arrive, the number at once varies like its square root.
        auto const needed = mean + std::sqrt(mean);
        out += std::max(0.0, needed - static_cast<double>(it.running));
    }
    return out;
}

} // namespace savorymount::queueing
