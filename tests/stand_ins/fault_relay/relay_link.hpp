#pragma once

#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/settings_parser.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <event2/bufferevent.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace savorymount::stand_ins
{

/// One client connection and the connection to the target that its bytes go to.
class relay_link
{
public:
    struct options
    {
        /// Delay of each piece of bytes, in each direction.
        std::function<base::duration()> delay;
        /// Called once, from the loop, when both connections have ended.
        std::function<void(relay_link const&)> ended;
    };

    relay_link(runtime::event_loop& loop, evutil_socket_t client,
               runtime::network_address const& target, options chosen);

    /// Resets both connections.
    ~relay_link();
    relay_link(relay_link const&) = delete;
    relay_link& operator=(relay_link const&) = delete;

    /// From now on both connections stay open and lose all bytes, for good.
    void silence();

    /// Loses the bytes towards the client while `mute` is true.
    void mute_answers(bool mute) { answers_muted_ = mute; }

    bool silent() const { return silent_; }

private:
    struct piece
    {
        base::time_point due;
        std::string bytes;
        /// The end of the stream instead of bytes.
        bool end;
    };

    struct direction
    {
        bufferevent* from = nullptr;
        bufferevent* to = nullptr;
        std::deque<piece> pieces;
        std::size_t queued_bytes = 0;
        runtime::timer_service::subscription timer;
        bool ended = false;
        bool closing = false;
    };

    static void on_read(bufferevent* buffer, void* self);
    static void on_write(bufferevent* buffer, void* self);
    static void on_event(bufferevent* buffer, short what, void* self);

    direction& from(bufferevent* buffer);
    direction& to(bufferevent* buffer);
    void enqueue(direction& way, std::string bytes, bool end);
    void deliver(direction& way);
    void throttle(direction& way);
    void end();

    runtime::event_loop& loop_;
    runtime::timer_service timers_;
    options options_;
    direction upwards_;
    direction downwards_;
    bool silent_ = false;
    bool answers_muted_ = false;
    /// Bytes towards the client were lost.
    bool answers_lost_ = false;
    bool ended_ = false;
    bool reset_on_close_ = true;
    std::shared_ptr<char> const alive_ = std::make_shared<char>();
};

} // namespace savorymount::stand_ins
