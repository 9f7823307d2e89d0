#pragma once

#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/settings_parser.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <functional>

struct bufferevent;

namespace savorymount::runtime
{

enum class probe_result
{
    /// A process accepts connections at the address.
    listening,
    /// The host answers, but no process listens.
    refused,
    /// Nothing was heard in time.
    unknown
};

/// Finds out whether a process listens at an address: it opens a connection, sends nothing and
/// closes it.
class connection_probe
{
public:
    /// `callback` is called once, from the event loop, unless the probe is destroyed before.
    connection_probe(event_loop& loop, timer_service& timers, network_address const& address,
                     std::function<void(probe_result)> callback);
    ~connection_probe();
    connection_probe(connection_probe const&) = delete;
    connection_probe& operator=(connection_probe const&) = delete;

private:
    static void handle_event(bufferevent* buffer, short events, void* self);
    void end(probe_result result);

    bufferevent* buffer_;
    std::function<void(probe_result)> callback_;
    timer_service::subscription timer_;
};

} // namespace savorymount::runtime
