#include <map>
#include <set>
#include <tests/libraries/deduplication/run_history.hpp>

namespace savorymount::deduplication
{

std::optional<std::string> find_violation(std::vector<run_event> const& history,
                                          base::duration min_interval)
{
    std::map<std::string, base::time_point> last_run;
    std::set<std::string> requests_run;
    std::set<std::string> requests_not_run;
    for (auto const& it : history)
    {
        if (it.type == run_event::kind::reported_not_run)
        {
            requests_not_run.insert(it.request);
            continue;
        }
        auto const [previous, first] = last_run.try_emplace(it.key, it.time);
        if (!first && it.time - previous->second < min_interval)
            return "key " + it.key + " ran twice within its window";
        previous->second = it.time;
        if (!requests_run.insert(it.request).second)
            return "request " + it.request + " ran twice";
    }
    for (auto const& it : requests_not_run)
        if (requests_run.contains(it))
            return "request " + it + " ran although its caller was told that it did not";
    return std::nullopt;
}

} // namespace savorymount::deduplication
