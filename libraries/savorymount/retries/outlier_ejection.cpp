#include <savorymount/retries/outlier_ejection.hpp>

#include <algorithm>
#include <cmath>

namespace savorymount::retries
{

outlier_ejection::outlier_ejection(outlier_ejection_options const& options) : options_(options) {}

outlier_ejection::upstream_state& outlier_ejection::state_of(base::time_point now,
                                                             routing::upstream_id upstream)
{
    auto const [it, added] = states_.try_emplace(upstream);
    upstream_state& out = it->second;
    if (added || now - out.window_start >= options_.window)
    {
        out.window_start = now;
        out.successes = 0;
        out.failures = 0;
    }
    // A window without ejection after the slow start counts as recovery, so that the next ejection
    // is short again.
    if (out.ejections > 0 && now - out.ejected_until >= options_.slow_start + options_.window)
        out.ejections = 0;
    return out;
}

void outlier_ejection::record_success(base::time_point now, routing::upstream_id upstream)
{
    upstream_state& it = state_of(now, upstream);
    it.consecutive_failures = 0;
    ++it.successes;
}

bool outlier_ejection::record_failure(base::time_point now, routing::upstream_id upstream)
{
    upstream_state& it = state_of(now, upstream);
    ++it.consecutive_failures;
    ++it.failures;
    // Requests sent before the ejection may still fail; these failures are no new information.
    if (now < it.ejected_until)
        return false;
    std::uint32_t const requests = it.successes + it.failures;
    bool const exceeds_ratio =
        requests >= options_.min_requests && it.failures >= options_.failure_ratio * requests;
    if (it.consecutive_failures < options_.consecutive_failures && !exceeds_ratio)
        return false;
    // If most of the group fails, the upstreams are rarely the cause, and the remaining ones would
    // be overloaded.
    auto const max_ejected = static_cast<std::size_t>(
        std::floor(options_.max_ejected_share * static_cast<double>(group_size_)));
    if (ejected_count(now) + 1 > max_ejected)
        return false;
    base::duration duration = options_.ejection_duration;
    for (std::uint32_t i = 0; i < it.ejections && duration < options_.max_ejection_duration; ++i)
        duration *= 2;
    it.ejected_until = now + std::min(duration, options_.max_ejection_duration);
    ++it.ejections;
    it.consecutive_failures = 0;
    it.successes = 0;
    it.failures = 0;
    return true;
}

double outlier_ejection::traffic_share(base::time_point now, routing::upstream_id upstream) const
{
    auto const found = states_.find(upstream);
    if (found == states_.end() || found->second.ejections == 0)
        return 1.0;
    upstream_state const& it = found->second;
    if (now < it.ejected_until)
        return 0.0;
    base::duration const since_return = now - it.ejected_until;
    if (since_return >= options_.slow_start)
        return 1.0;
    double const progress = static_cast<double>(since_return.count()) /
                            static_cast<double>(options_.slow_start.count());
    return options_.initial_share + (1.0 - options_.initial_share) * progress;
}

std::size_t outlier_ejection::ejected_count(base::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(states_.begin(), states_.end(),
                                                  [now](auto const& it) {
                                                      return it.second.ejections > 0 &&
                                                             now < it.second.ejected_until;
                                                  }));
}

} // namespace savorymount::retries
