#pragma once

#include <savorymount/runtime/peer_connection.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace savorymount::runtime
{

/// Connections to peers by their name in the list (`id#incarnation`).
class peer_pool
{
public:
    /// Fills the options of a new connection, apart from its address.
    using options_maker = std::function<peer_connection_options(std::string const& name)>;

    peer_pool(event_loop& loop, timer_service& timers, options_maker make)
        : loop_(loop), timers_(timers), make_(std::move(make))
    {
    }

    /// Connects to the peer unless there is a connection to that address already.
    void ensure(std::string const& name, network_address const& address);

    /// Closes the connection.
    void drop(std::string const& name);

    /// Closes the connections that `keep` does not want.
    void retain(std::function<bool(std::string const&)> const& keep);

    /// The usable connection to the peer, or null.
    peer_connection* find(std::string const& name);

    std::size_t size() const { return connections_.size(); }

private:
    event_loop& loop_;
    timer_service& timers_;
    options_maker make_;
    std::map<std::string, std::unique_ptr<peer_connection>> connections_;
};

} // namespace savorymount::runtime
