#include <savorymount/queueing/body_budget.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::queueing
{
namespace
{

using namespace std::chrono_literals;

// Share of the memory that only small bodies may use.
constexpr std::size_t small_reserve_divisor = 12;
// One workspace leaves this share of the memory for large bodies to the others.
constexpr std::size_t other_workspaces_divisor = 16;
// What the kernel and the connection hold of a body that is not read yet.
constexpr std::size_t waiting_body_bytes = std::size_t{64} * 1024;
constexpr base::duration min_rate_interval = 500ms;
constexpr base::duration max_rate_interval = 2s;

} // namespace

body_budget_limits make_body_budget_limits(std::size_t bytes, std::size_t waiting_bytes)
{
    body_budget_limits out;
    out.max_bytes = bytes;
    out.small_body_reserve = bytes / small_reserve_divisor;
    auto const large_bytes = out.max_large_bytes();
    out.max_workspace_bytes = large_bytes - large_bytes / other_workspaces_divisor;
    out.max_waiting = waiting_bytes / waiting_body_bytes;
    return out;
}

body_budget::answer body_budget::request(base::time_point now, std::string const& workspace,
                                         std::size_t bytes, base::duration max_wait)
{
    bool const small = bytes <= limits_.max_small_body_bytes;
    if (small)
    {
        if (held_bytes() + bytes > limits_.max_bytes)
            return {decision::rejected, 0, default_retry_after};
        auto const id = ++last_ticket_;
        bodies_.emplace(id, body{workspace, bytes, true, true});
        small_bytes_ += bytes;
        return {decision::granted, id, {}};
    }
    if (bytes > std::min(limits_.max_workspace_bytes, limits_.max_large_bytes()))
        return {decision::rejected, 0, default_retry_after};
    auto const found = workspaces_.find(workspace);
    bool const own_wait = found != workspaces_.end() && !found->second.waiting.empty();
    bool const fits_workspace = held_bytes_of(workspace) + bytes <= limits_.max_workspace_bytes;
    // Bodies that wait only for their own workspace hold back no others.
    bool const at_once = !own_wait && fits_workspace && next_workspace() == nullptr &&
                         large_bytes_ + bytes <= limits_.max_large_bytes();
    if (!at_once)
    {
        auto const wait = expected_wait(now, bytes);
        bool const too_long = wait && *wait > max_wait;
        if (too_long || waiting_count_ >= limits_.max_waiting)
            return {decision::rejected, 0,
                    std::max(wait.value_or(default_retry_after), default_retry_after)};
    }
    auto const id = ++last_ticket_;
    auto& added = bodies_.emplace(id, body{workspace, bytes, false, false}).first->second;
    auto& owner = workspaces_[workspace];
    ++owner.bodies;
    if (at_once)
    {
        grant(added);
        return {decision::granted, id, {}};
    }
    owner.waiting.push_back(id);
    waiting_bytes_ += bytes;
    ++waiting_count_;
    if (!rate_since_)
    {
        rate_since_ = now;
        granted_since_ = 0;
    }
    return {decision::waiting, id, {}};
}

void body_budget::shrink(ticket id, std::size_t bytes)
{
    auto const found = bodies_.find(id);
    if (found == bodies_.end() || !found->second.granted || bytes >= found->second.bytes)
        return;
    auto& it = found->second;
    auto const freed = it.bytes - bytes;
    it.bytes = bytes;
    if (it.small)
    {
        small_bytes_ -= freed;
        return;
    }
    large_bytes_ -= freed;
    workspaces_.at(it.workspace).held_bytes -= freed;
}

void body_budget::release(ticket id)
{
    auto const found = bodies_.find(id);
    if (found == bodies_.end())
        return;
    auto const it = std::move(found->second);
    bodies_.erase(found);
    if (it.small)
    {
        small_bytes_ -= it.bytes;
        return;
    }
    auto const owner = workspaces_.find(it.workspace);
    if (it.granted)
    {
        large_bytes_ -= it.bytes;
        owner->second.held_bytes -= it.bytes;
    }
    else
    {
        std::erase(owner->second.waiting, id);
        waiting_bytes_ -= it.bytes;
        --waiting_count_;
    }
    if (--owner->second.bodies == 0)
        workspaces_.erase(owner);
    if (waiting_count_ == 0)
        rate_since_ = std::nullopt;
}

std::vector<body_budget::ticket> body_budget::grant_waiting(base::time_point now)
{
    std::vector<ticket> out;
    while (auto* const owner = next_workspace())
    {
        auto const id = owner->waiting.front();
        auto& it = bodies_.at(id);
        // A large body is not passed by smaller ones, or it might wait for ever.
        if (large_bytes_ + it.bytes > limits_.max_large_bytes())
            break;
        owner->waiting.pop_front();
        waiting_bytes_ -= it.bytes;
        --waiting_count_;
        record_granted(now, it.bytes);
        grant(it);
        out.push_back(id);
    }
    if (waiting_count_ == 0)
        rate_since_ = std::nullopt;
    return out;
}

std::size_t body_budget::held_bytes_of(std::string const& workspace) const
{
    auto const found = workspaces_.find(workspace);
    return found == workspaces_.end() ? 0 : found->second.held_bytes;
}

void body_budget::grant(body& it)
{
    it.granted = true;
    large_bytes_ += it.bytes;
    workspaces_.at(it.workspace).held_bytes += it.bytes;
}

body_budget::workspace_bodies* body_budget::next_workspace()
{
    workspace_bodies* out = nullptr;
    for (auto& [name, it] : workspaces_)
    {
        if (it.waiting.empty())
            continue;
        auto const bytes = bodies_.at(it.waiting.front()).bytes;
        if (it.held_bytes + bytes > limits_.max_workspace_bytes)
            continue;
        if (out == nullptr || it.held_bytes < out->held_bytes)
            out = &it;
    }
    return out;
}

std::optional<base::duration> body_budget::expected_wait(base::time_point now,
                                                         std::size_t bytes) const
{
    if (!rate_since_ || now - *rate_since_ < min_rate_interval)
        return std::nullopt;
    auto const elapsed = std::chrono::duration<double>(now - *rate_since_).count();
    auto const rate = std::max(granted_since_, 1.0) / elapsed;
    auto const seconds = static_cast<double>(waiting_bytes_ + bytes) / rate;
    constexpr double max_seconds = 60;
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(std::min(seconds, max_seconds)));
}

void body_budget::record_granted(base::time_point now, std::size_t bytes)
{
    if (!rate_since_)
        return;
    granted_since_ += static_cast<double>(bytes);
    if (now - *rate_since_ < max_rate_interval)
        return;
    // Older grants count less and less.
    granted_since_ /= 2;
    rate_since_ = *rate_since_ + (now - *rate_since_) / 2;
}

} // namespace savorymount::queueing
