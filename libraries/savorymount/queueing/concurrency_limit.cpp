#include <savorymount/queueing/concurrency_limit.hpp>

#include <algorithm>

namespace savorymount::queueing
{
namespace
{

using namespace std::chrono_literals;

constexpr double reduction = 0.75;
/// Rise per second, as a part of the value after the reduction.
constexpr double rise_per_second = 0.5;
constexpr base::duration lifetime = 4s;
/// Keeps less urgent requests from starving.
constexpr double min_limit = 2;

} // namespace

void concurrency_limit::record_late(base::time_point now, base::time_point began_at, double running)
{
    // A request from before the last reduction does not show whether that was enough.
    if (lowered_at_ && began_at < *lowered_at_)
        return;
    // The number at engines, not an older limit, is what the late request met.
    auto const reached = std::min(running, value(now).value_or(running));
    lowered_to_ = std::max(min_limit, reached * reduction);
    lowered_at_ = now;
}

std::optional<double> concurrency_limit::value(base::time_point now) const
{
    if (!lowered_at_ || now - *lowered_at_ >= lifetime)
        return std::nullopt;
    auto const elapsed = std::chrono::duration<double>(now - *lowered_at_).count();
    return lowered_to_ * (1 + rise_per_second * std::max(0.0, elapsed));
}

bool concurrency_limit::allows(base::time_point now, double running) const
{
    auto const limit = value(now);
    return !limit || running + 1 <= *limit;
}

} // namespace savorymount::queueing
