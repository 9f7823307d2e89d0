#pragma once

#include <savorymount/base/time.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace savorymount::limits
{

/// At the entry: refuses requests of a workspace far over its rate without asking an agent.
///
/// A refusal never lasts beyond the hint that an agent returned; after it, requests go through
/// again. Refusals by the gate itself extend nothing.
class refusal_cache
{
public:
    /// `threshold` is the number of refusals by agents without an admission in between from which
    /// the gate refuses; `capacity` bounds the workspaces remembered.
    explicit refusal_cache(unsigned threshold = 3, std::size_t capacity = 4096);

    /// An agent refused a request of the workspace as over its rate (`rate_limited`).
    void record_refusal(base::time_point now, std::string const& workspace,
                        base::duration retry_after);

    /// An agent admitted a request of the workspace.
    void record_admission(std::string const& workspace);

    /// Empty: send the request on. Otherwise refuse it with this `Retry-After`.
    std::optional<base::duration> check(base::time_point now, std::string const& workspace);

    std::size_t size() const { return workspaces_.size(); }

private:
    struct state
    {
        unsigned refusals = 0;
        base::time_point refuse_until{};
        base::time_point last_refusal{};
    };

    void evict(base::time_point now);

    unsigned threshold_;
    std::size_t capacity_;
    std::unordered_map<std::string, state> workspaces_;
};

} // namespace savorymount::limits
