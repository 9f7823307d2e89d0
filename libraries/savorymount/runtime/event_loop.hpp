#pragma once

#include <savorymount/base/time.hpp>

#include <event2/event.h>
#include <kj/async.h>

#include <functional>
#include <vector>

namespace savorymount::runtime
{

/// One libevent loop that also runs Cap'n Proto's KJ loop, both on the calling thread.
class event_loop final : private kj::EventPort, private kj::TaskSet::ErrorHandler
{
public:
    event_loop();
    ~event_loop() noexcept;
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;

    event_base* base() { return base_; }

    /// The time since boot, suspended time included.
    base::time_point now() const;

    /// Milliseconds since the Unix epoch, for records that people read.
    std::int64_t unix_milliseconds() const;

    /// Runs until `stop()`.
    void run();

    /// Ends `run()` after the callbacks that are already active.
    void stop();

    /// Calls `hook` once from the loop, after the current callback has returned.
    void defer(std::function<void()> hook);

    /// Calls `hook` on SIGTERM and SIGINT; ignores SIGPIPE.
    void on_termination(std::function<void()> hook);

    /// Calls `hook` on SIGHUP.
    void on_hang_up(std::function<void()> hook);

    /// Lets `promise` run to its end; errors are dropped, so handle them in the promise.
    void detach(kj::Promise<void>&& promise);

private:
    bool wait() override;
    bool poll() override;
    void setRunnable(bool runnable) override;
    void taskFailed(kj::Exception&& exception) override;

    void watch_signal(int number, event_callback_fn callback);
    static void run_kj(evutil_socket_t, short, void* self);

    event_base* base_;
    event* kj_event_;
    std::vector<event*> signal_events_;
    std::function<void()> termination_hook_;
    std::function<void()> hang_up_hook_;
    kj::EventLoop kj_loop_;
    kj::WaitScope wait_scope_;
    kj::Own<kj::TaskSet> tasks_;
};

} // namespace savorymount::runtime
