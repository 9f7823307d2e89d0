#include <savorymount/limits/overload_gate.hpp>

#include <algorithm>

namespace savorymount::limits
{

namespace
{

/// A hint above this is cut: the workspace's contract may change in the meantime.
constexpr base::duration longest_hint = std::chrono::seconds(10);
/// Refusals further apart than this say nothing about a workspace far over its rate.
constexpr base::duration memory = std::chrono::seconds(1);

} // namespace

overload_gate::overload_gate(unsigned threshold, std::size_t capacity)
    : threshold_(threshold), capacity_(std::max<std::size_t>(capacity, 1))
{
}

void overload_gate::refused(base::time_point now, std::string const& workspace,
                            base::duration retry_after)
{
    auto found = workspaces_.find(workspace);
    if (found == workspaces_.end())
    {
        if (workspaces_.size() >= capacity_)
            make_room(now);
        found = workspaces_.emplace(workspace, state{}).first;
    }
    auto& it = found->second;
    if (now - std::max(it.last, it.until) > memory)
        it.refusals = 0;
    ++it.refusals;
    it.last = now;
    // The newest hint replaces older ones, also when it is shorter.
    it.until = now + std::clamp(retry_after, base::duration::zero(), longest_hint);
}

void overload_gate::admitted(std::string const& workspace)
{
    workspaces_.erase(workspace);
}

std::optional<base::duration> overload_gate::check(base::time_point now,
                                                   std::string const& workspace)
{
    auto const found = workspaces_.find(workspace);
    if (found == workspaces_.end())
        return std::nullopt;
    auto const& it = found->second;
    if (it.refusals < threshold_ || now >= it.until)
        return std::nullopt;
    return it.until - now;
}

void overload_gate::make_room(base::time_point now)
{
    std::erase_if(workspaces_, [&](auto const& it)
                  { return now - std::max(it.second.last, it.second.until) > memory; });
    if (workspaces_.size() < capacity_)
        return;
    auto const oldest = std::min_element(workspaces_.begin(), workspaces_.end(),
                                         [](auto const& left, auto const& right)
                                         { return left.second.until < right.second.until; });
    workspaces_.erase(oldest);
}

} // namespace savorymount::limits
