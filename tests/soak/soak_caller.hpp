#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/outbound_connection.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tests/soak/soak_history.hpp>

namespace savorymount::soak
{

/// A gateway that new connections may go to.
struct reachable_gateway
{
    std::size_t index = 0;
    runtime::network_address address;

    bool operator==(reachable_gateway const&) const = default;
};

/// What a caller asks of its surroundings.
struct caller_hooks
{
    /// A gateway for a new connection; empty while none is ready.
    std::function<std::optional<reachable_gateway>()> choose_gateway;
    std::function<void(call_record const&)> ended;
};

/// One caller. It sends one request after the other and keeps its connection until the gateway
/// closes it.
class soak_caller
{
public:
    soak_caller(runtime::event_loop& loop, runtime::timer_service& timers, std::string name,
                std::uint64_t seed, caller_hooks hooks);

    void start() { next_call(); }

    /// Sends nothing more once the current request has ended.
    void stop() { stopping_ = true; }
    bool idle() const { return !connection_ || !in_call_; }

private:
    void next_call();
    void send();
    void choose_request();
    void resume_stream();
    std::string choose_key();
    std::string make_request() const;
    void take_head(runtime::http_head const& head);
    void end_call(bool whole);
    /// Prepares the next request to resume a stream that has broken off.
    void plan_resumption();

    runtime::event_loop& loop_;
    runtime::timer_service& timers_;
    std::string name_;
    base::random_source random_;
    caller_hooks hooks_;
    std::unique_ptr<runtime::outbound_connection> connection_;
    std::size_t gateway_ = 0;
    std::uint64_t sent_ = 0;
    call_record call_;
    /// What the next request resumes: id of the request that began the stream, and its events.
    std::string resumed_request_;
    std::string resumed_events_;
    bool resumed_has_crashing_part_ = false;
    unsigned resumptions_left_ = 0;
    bool in_call_ = false;
    bool stopping_ = false;
    runtime::timer_service::subscription think_timer_;
    runtime::timer_service::subscription give_up_timer_;
};

} // namespace savorymount::soak
