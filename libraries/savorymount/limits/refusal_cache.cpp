#include <savorymount/limits/refusal_cache.hpp>

#include <algorithm>

namespace savorymount::limits
{

namespace
{

/// Longer Retry-After values are shortened, since the limit of the workspace may change meanwhile.
constexpr base::duration max_retry_after = std::chrono::seconds(10);
/// A refusal this long after the previous one starts a new count.
constexpr base::duration refusal_lifetime = std::chrono::seconds(1);

} // namespace

refusal_cache::refusal_cache(unsigned threshold, std::size_t capacity)
    : threshold_(threshold), capacity_(std::max<std::size_t>(capacity, 1))
{
}

void refusal_cache::record_refusal(base::time_point now, std::string const& workspace,
                                   base::duration retry_after)
{
    auto found = workspaces_.find(workspace);
    if (found == workspaces_.end())
    {
        if (workspaces_.size() >= capacity_)
            evict(now);
        found = workspaces_.emplace(workspace, refusal_state{}).first;
    }
    auto& it = found->second;
    if (now - std::max(it.last_refusal, it.refuse_until) > refusal_lifetime)
        it.refusals = 0;
    ++it.refusals;
    it.last_refusal = now;
    // The newest Retry-After replaces older ones, even if it is shorter.
    it.refuse_until = now + std::clamp(retry_after, base::duration::zero(), max_retry_after);
}

void refusal_cache::record_admission(std::string const& workspace)
{
    workspaces_.erase(workspace);
}

std::optional<base::duration> refusal_cache::check(base::time_point now,
                                                   std::string const& workspace)
{
    auto const found = workspaces_.find(workspace);
    if (found == workspaces_.end())
        return std::nullopt;
    auto const& it = found->second;
    if (it.refusals < threshold_ || now >= it.refuse_until)
        return std::nullopt;
    return it.refuse_until - now;
}

void refusal_cache::evict(base::time_point now)
{
    std::erase_if(workspaces_,
                  [&](auto const& it) {
                      return now - std::max(it.second.last_refusal, it.second.refuse_until) >
                             refusal_lifetime;
                  });
    if (workspaces_.size() < capacity_)
        return;
    auto const earliest =
        std::min_element(workspaces_.begin(), workspaces_.end(),
                         [](auto const& left, auto const& right)
                         { return left.second.refuse_until < right.second.refuse_until; });
    workspaces_.erase(earliest);
}

} // namespace savorymount::limits
