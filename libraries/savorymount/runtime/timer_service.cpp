#include <savorymount/runtime/callback_guard.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <utility>

namespace savorymount::runtime
{

struct timer_service::subscription::state
{
    event* timer = nullptr;
    std::function<void()> hook;
    std::weak_ptr<state> self;

    state() = default;
    state(state const&) = delete;
    state& operator=(state const&) = delete;
    ~state()
    {
        if (timer != nullptr)
            event_free(timer);
    }
};

timer_service::subscription timer_service::every(base::duration interval,
                                                 std::function<void()> hook)
{
    return start(interval, true, std::move(hook));
}

timer_service::subscription timer_service::after(base::duration delay, std::function<void()> hook)
{
    return start(delay, false, std::move(hook));
}

timer_service::subscription timer_service::start(base::duration delay, bool repeats,
                                                 std::function<void()> hook)
{
    auto owned = std::make_shared<subscription::state>();
    owned->hook = std::move(hook);
    owned->self = owned;
    owned->timer = event_new(
        loop_.base(), -1, repeats ? EV_PERSIST : 0,
        [](evutil_socket_t, short, void* argument)
        {
            // The hook may end its own subscription; this reference keeps the state until it
            // returns.
            auto const it = static_cast<subscription::state*>(argument)->self.lock();
            if (it)
                run_guarded("timer", it->hook);
        },
        owned.get());
    timeval const interval{static_cast<time_t>(delay.count() / 1'000'000),
                           static_cast<suseconds_t>(delay.count() % 1'000'000)};
    event_add(owned->timer, &interval);
    return subscription(std::move(owned));
}

} // namespace savorymount::runtime
