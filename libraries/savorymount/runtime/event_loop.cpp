#include <savorymount/runtime/callback_guard.hpp>
#include <savorymount/runtime/event_loop.hpp>

#include <kj/debug.h>

#include <csignal>
#include <ctime>
#include <memory>
#include <utility>

namespace savorymount::runtime
{
namespace
{

// Bounds the KJ events handled before libevent looks at its sockets again, so that a busy RPC
// connection can't delay timers and HTTP.
constexpr kj::uint max_kj_turns = 128;

std::int64_t read_clock_microseconds(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return static_cast<std::int64_t>(time.tv_sec) * 1'000'000 + time.tv_nsec / 1000;
}

} // namespace

event_loop::event_loop()
    : base_(event_base_new()), kj_event_(event_new(base_, -1, 0, run_kj, this)),
      kj_loop_(static_cast<kj::EventPort&>(*this)), wait_scope_(kj_loop_),
      tasks_(kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(*this)))
{
    std::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop() noexcept
{
    tasks_ = nullptr;
    for (event* it : signal_events_)
    {
        if (it != nullptr)
            event_free(it);
    }
    // NOTE: The KJ loop may still call `setRunnable` while it is destroyed, after this body.
    event_free(std::exchange(kj_event_, nullptr));
    event_base_free(base_);
}

base::time_point event_loop::now() const
{
    return base::time_point(base::duration(read_clock_microseconds(CLOCK_BOOTTIME)));
}

std::int64_t event_loop::unix_milliseconds() const
{
    return read_clock_microseconds(CLOCK_REALTIME) / 1000;
}

void event_loop::run()
{
    event_base_dispatch(base_);
}

void event_loop::stop()
{
    event_base_loopbreak(base_);
}

void event_loop::defer(std::function<void()> hook)
{
    auto* const owned = new std::function<void()>(std::move(hook));
    timeval const now{0, 0};
    event_base_once(
        base_, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* argument)
        {
            std::unique_ptr<std::function<void()>> const it(
                static_cast<std::function<void()>*>(argument));
            run_guarded("deferred", *it);
        },
        owned, &now);
}

void event_loop::on_termination(std::function<void()> hook)
{
    termination_hook_ = std::move(hook);
    for (int const number : {SIGTERM, SIGINT})
        watch_signal(
            number, [](evutil_socket_t, short, void* self)
            { run_guarded("termination", static_cast<event_loop*>(self)->termination_hook_); });
}

void event_loop::on_hang_up(std::function<void()> hook)
{
    hang_up_hook_ = std::move(hook);
    watch_signal(SIGHUP, [](evutil_socket_t, short, void* self)
                 { run_guarded("hang-up", static_cast<event_loop*>(self)->hang_up_hook_); });
}

void event_loop::watch_signal(int number, event_callback_fn callback)
{
    auto* const it = evsignal_new(base_, number, callback, this);
    event_add(it, nullptr);
    signal_events_.push_back(it);
}

void event_loop::detach(kj::Promise<void>&& promise)
{
    tasks_->add(kj::mv(promise));
}

bool event_loop::wait()
{
    KJ_FAIL_REQUIRE("blocking waits are not allowed inside the libevent loop");
}

bool event_loop::poll()
{
    return false;
}

void event_loop::setRunnable(bool runnable)
{
    if (runnable && kj_event_ != nullptr)
        event_active(kj_event_, EV_TIMEOUT, 0);
}

void event_loop::taskFailed(kj::Exception&&) {}

void event_loop::run_kj(evutil_socket_t, short, void* self)
{
    auto* const loop = static_cast<event_loop*>(self);
    loop->kj_loop_.run(max_kj_turns);
    if (loop->kj_loop_.isRunnable())
        event_active(loop->kj_event_, EV_TIMEOUT, 0);
}

} // namespace savorymount::runtime
