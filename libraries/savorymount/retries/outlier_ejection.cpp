#include <savorymount/retries/outlier_ejection.hpp>

#include <algorithm>
#include <cmath>

namespace savorymount::retries
{

outlier_ejection::outlier_ejection(outlier_ejection_options const& options) : options_(options) {}

outlier_ejection::state& outlier_ejection::state_of(base::time_point now,
                                                    routing::upstream_id upstream)
{
    auto const [it, added] = states_.try_emplace(upstream);
    state& out = it->second;
    if (added || now - out.window_start >= options_.window)
    {
        out.window_start = now;
        out.successes = 0;
        out.failures = 0;
    }
    // A full window after the slow start counts as recovery, so the next ejection is short again.
    if (out.ejections > 0 && now - out.ejected_until >= options_.slow_start + options_.window)
        out.ejections = 0;
    return out;
}

void outlier_ejection::succeeded(base::time_point now, routing::upstream_id upstream)
{
    state& it = state_of(now, upstream);
    it.in_a_row = 0;
    ++it.successes;
}

bool outlier_ejection::failed(base::time_point now, routing::upstream_id upstream)
{
    state& it = state_of(now, upstream);
    ++it.in_a_row;
    ++it.failures;
    // Requests sent before the ejection may still fail; they say nothing new.
    if (now < it.ejected_until)
        return false;
    std::uint32_t const requests = it.successes + it.failures;
    bool const by_ratio =
        requests >= options_.minimum_requests && it.failures >= options_.failure_ratio * requests;
    if (it.in_a_row < options_.consecutive_failures && !by_ratio)
        return false;
    // With most of the group failing, the cause is rarely the upstreams, and the rest would
    // collapse under the whole load.
    auto const most = static_cast<std::size_t>(
        std::floor(options_.ejected_share * static_cast<double>(group_size_)));
    if (ejected(now) + 1 > most)
        return false;
    base::duration length = options_.ejection;
    for (std::uint32_t i = 0; i < it.ejections && length < options_.longest_ejection; ++i)
        length *= 2;
    it.ejected_until = now + std::min(length, options_.longest_ejection);
    ++it.ejections;
    it.in_a_row = 0;
    it.successes = 0;
    it.failures = 0;
    return true;
}

double outlier_ejection::share(base::time_point now, routing::upstream_id upstream) const
{
    auto const found = states_.find(upstream);
    if (found == states_.end() || found->second.ejections == 0)
        return 1.0;
    state const& it = found->second;
    if (now < it.ejected_until)
        return 0.0;
    base::duration const back = now - it.ejected_until;
    if (back >= options_.slow_start)
        return 1.0;
    double const risen =
        static_cast<double>(back.count()) / static_cast<double>(options_.slow_start.count());
    return options_.first_share + (1.0 - options_.first_share) * risen;
}

std::size_t outlier_ejection::ejected(base::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(states_.begin(), states_.end(),
                                                  [now](auto const& it) {
                                                      return it.second.ejections > 0 &&
                                                             now < it.second.ejected_until;
                                                  }));
}

} // namespace savorymount::retries
