#pragma once

#include <savorymount/base/time.hpp>

#include <optional>
#include <string>
#include <vector>

namespace savorymount::deduplication
{

/// An externally visible event of a request with an idempotency key.
struct run_event
{
    enum class kind
    {
        run,
        reported_not_run
    };
    kind type = kind::run;
    base::time_point time;
    std::string key;
    std::string request;
};

/// Returns a description of a violation in the history, if any: two runs of one key less than
/// `min_interval` apart, two runs of one request, or a run of a request that was reported as not
/// run.
std::optional<std::string> find_violation(std::vector<run_event> const& history,
                                          base::duration min_interval);

} // namespace savorymount::deduplication
