#pragma once

#include <savorymount/runtime/connection_probe.hpp>
#include <savorymount/runtime/outbound_connection.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace savorymount::runtime
{

/// Keeps idle connections by the incarnation of the upstream that they lead to.
class outbound_pool
{
public:
    /// `options` holds for all connections, except for the address.
    outbound_pool(event_loop& loop, timer_service& timers, outbound_options options = {})
        : loop_(loop), timers_(timers), options_(std::move(options))
    {
    }

    /// An idle connection that the upstream surely still keeps, or a new one.
    std::unique_ptr<outbound_connection> take(std::string const& upstream,
                                              network_address const& address);

    /// Takes a connection back after a call; one that can't carry another call is closed.
    void give_back(std::string const& upstream, std::unique_ptr<outbound_connection> connection);

    /// Closes the idle connections to an upstream.
    void forget(std::string const& upstream) { idle_.erase(upstream); }

    /// Finds out whether a process listens at the address.
    std::unique_ptr<connection_probe> probe(network_address const& address,
                                            std::function<void(probe_result)> callback)
    {
        return std::make_unique<connection_probe>(loop_, timers_, address, std::move(callback));
    }

private:
    bool fresh(outbound_connection const& connection) const;

    event_loop& loop_;
    timer_service& timers_;
    outbound_options options_;
    std::unordered_map<std::string, std::vector<std::unique_ptr<outbound_connection>>> idle_;
};

} // namespace savorymount::runtime
