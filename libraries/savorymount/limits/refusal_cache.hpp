#pragma once

#include <savorymount/base/time.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace savorymount::limits
{

/// Remembers which workspaces agents recently refused as over their rate, so that a router instance
/// can refuse further requests without calling an agent.
///
/// A refusal lasts no longer than the Retry-After of the agent; afterwards requests are forwarded
/// again. Refusals by this cache do not extend it.
class refusal_cache
{
public:
    /// `threshold` is the number of consecutive refusals by agents after which the cache refuses;
    /// `capacity` is the maximum number of workspaces.
    explicit refusal_cache(unsigned threshold = 3, std::size_t capacity = 4096);

    /// Records that an agent refused a request as over the rate of the workspace (`rate_limited`).
    void record_refusal(base::time_point now, std::string const& workspace,
                        base::duration retry_after);

    /// Records that an agent admitted a request of the workspace.
    void record_admission(std::string const& workspace);

    /// The Retry-After with which to refuse a request of the workspace, or nothing if it is to be
    /// forwarded.
    std::optional<base::duration> check(base::time_point now, std::string const& workspace);

    std::size_t size() const { return workspaces_.size(); }

private:
    struct refusal_state
    {
        unsigned refusals = 0;
        base::time_point refuse_until{};
        base::time_point last_refusal{};
    };

    void evict(base::time_point now);

    unsigned threshold_;
    std::size_t capacity_;
    std::unordered_map<std::string, refusal_state> workspaces_;
};

} // namespace savorymount::limits
