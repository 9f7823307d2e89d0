#include <savorymount/rollouts/exposure_limiter.hpp>

namespace savorymount::rollouts
{

bool exposure_limiter::is_within(counts const& it, double credit) const
{
    return static_cast<double>(it.to_target + 1) <=
           share_ * static_cast<double>(it.requests + 1) + credit;
}

bool exposure_limiter::permits(std::string const& route) const
{
    if (!is_within(total_, credit_))
        return false;
    auto const found = by_route_.find(route);
    // Each route gets its first request as soon as the others leave room for it, and its own share
    // from then on: a version may be bad on a route that is seldom used.
    return found == by_route_.end() || found->second.to_target == 0 || is_within(found->second, 0);
}

void exposure_limiter::record(std::string const& route, bool to_target)
{
    for (auto* const it : {&total_, &by_route_[route]})
    {
        it->requests += 1;
        it->to_target += to_target ? 1 : 0;
    }
}

} // namespace savorymount::rollouts
