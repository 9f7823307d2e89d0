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

/// Runs closures in order of virtual time.
class virtual_time_queue
{
public:
    using moment = base::time_point;

    moment now() const { return now_; }

    void at(moment when, std::function<void()> what)
    {
        events_.emplace(std::pair{std::max(when, now_), ++count_}, std::move(what));
    }

    void after(base::duration delay, std::function<void()> what)
    {
        at(now_ + delay, std::move(what));
    }

    void run_until(moment end)
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
    moment now_{};
    std::uint64_t count_ = 0;
    std::map<std::pair<moment, std::uint64_t>, std::function<void()>> events_;
};

} // namespace savorymount::tests
