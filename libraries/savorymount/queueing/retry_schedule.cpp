#include <savorymount/queueing/retry_schedule.hpp>

#include <algorithm>

namespace savorymount::queueing
{
namespace
{

using namespace std::chrono_literals;

/// An earlier return would come before the state of the engines has changed.
constexpr base::duration min_delay = 120ms;

} // namespace

std::optional<base::duration> retry_schedule::book(base::time_point now,
                                                   refused_caller const& caller, double position)
{
    remove_due(now);
    auto ahead = static_cast<double>(caller.waiting_ahead);
    for (auto const& [urgency, times] : returns_)
    {
        if (urgency <= caller.urgency)
            ahead += static_cast<double>(times.size());
    }
    auto const interval = static_cast<double>(caller.begin_interval.count());
    auto const delay = base::duration(
        static_cast<std::int64_t>(std::min((ahead + 1 + position) * interval, 3.6e9)));
    auto const out = std::max(delay, min_delay);
    if (out >= caller.time_left)
        return std::nullopt;
    returns_[caller.urgency].insert(now + out);
    return out;
}

std::size_t retry_schedule::size(base::time_point now)
{
    remove_due(now);
    std::size_t out = 0;
    for (auto const& it : returns_)
        out += it.second.size();
    return out;
}

void retry_schedule::remove_due(base::time_point now)
{
    for (auto& [urgency, times] : returns_)
        times.erase(times.begin(), times.upper_bound(now));
    std::erase_if(returns_, [](auto const& it) { return it.second.empty(); });
}

} // namespace savorymount::queueing
