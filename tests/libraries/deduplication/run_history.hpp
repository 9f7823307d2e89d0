#pragma once

#include <savorymount/base/time.hpp>

#include <optional>
#include <string>
#include <vector>

namespace savorymount::deduplication
{

/// What an observer outside the system sees of requests with idempotency keys.
struct run_event
{
    enum class kind
    {
        run,
        reported_not_run
    };
    kind type = kind::run;
    base::time_point at;
    std::string key;
    std::string request;
};

/// Reads a history and names the first promise that it breaks: two runs of one key less than
/// `apart` from each other, two runs of one request, or a run of a request whose caller was told
/// that it did not run.
std::optional<std::string> find_violation(std::vector<run_event> const& history,
                                          base::duration min_interval);

} // namespace savorymount::deduplication
