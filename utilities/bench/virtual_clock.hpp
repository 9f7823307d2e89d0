#pragma once

#include <savorymount/base/time.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace savorymount::bench
{

/// Runs scheduled actions in the order of their times; equal times run in the order of scheduling.
class virtual_clock
{
public:
    base::time_point now() const { return now_; }

    void schedule(base::time_point when, std::function<void()> action)
    {
        actions_.push({when, next_++, std::move(action)});
    }

    /// Runs everything that is due before `end`.
    void run_until(base::time_point end)
    {
        while (!actions_.empty() && actions_.top().when < end)
        {
            scheduled const next = actions_.top();
            actions_.pop();
            now_ = next.when;
            next.action();
        }
        now_ = end;
    }

private:
    struct scheduled
    {
        base::time_point when;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(scheduled const& other) const
        {
            return std::pair(when, order) > std::pair(other.when, other.order);
        }
    };

    std::priority_queue<scheduled> actions_;
    base::time_point now_{};
    std::uint64_t next_ = 0;
};

} // namespace savorymount::bench
