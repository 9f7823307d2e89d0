#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/base/time.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace savorymount::tests
{

/// Runs callbacks in order of virtual time.
class virtual_time_queue
{
public:
    using time_point = base::time_point;

    time_point now() const { return now_; }

    void at(time_point time, std::function<void()> callback)
    {
        events_.emplace(std::pair{std::max(time, now_), ++sequence_}, std::move(callback));
    }

    void after(base::duration delay, std::function<void()> callback)
    {
        at(now_ + delay, std::move(callback));
    }

    void run_until(time_point end)
    {
        while (!events_.empty() && events_.begin()->first.first <= end)
        {
            auto event = events_.extract(events_.begin());
            now_ = event.key().first;
            event.mapped()();
        }
        now_ = end;
    }

private:
    time_point now_{};
    std::uint64_t sequence_ = 0;
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> events_;
};

} // namespace savorymount::tests
