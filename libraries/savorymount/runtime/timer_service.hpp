#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/runtime/event_loop.hpp>

#include <functional>
#include <memory>

namespace savorymount::runtime
{

/// Calls subscribers after a delay or at an interval, from the event loop.
class timer_service
{
public:
    /// Ends its timer when it is destroyed. May be destroyed inside the timer's own hook.
    class subscription
    {
    public:
        struct state;
        subscription() = default;
        explicit subscription(std::shared_ptr<state> owned) : state_(std::move(owned)) {}

    private:
        std::shared_ptr<state> state_;
    };

    explicit timer_service(event_loop& loop) : loop_(loop) {}

    /// Calls `hook` every `interval` until the subscription ends.
    [[nodiscard]] subscription every(base::duration interval, std::function<void()> hook);

    /// Calls `hook` once after `delay` unless the subscription ends before.
    [[nodiscard]] subscription after(base::duration delay, std::function<void()> hook);

    base::time_point now() const { return loop_.now(); }

private:
    subscription start(base::duration delay, bool repeats, std::function<void()> hook);

    event_loop& loop_;
};

} // namespace savorymount::runtime
