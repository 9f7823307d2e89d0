#pragma once

#include <savorymount/membership/peer_table.hpp>

#include <string>
#include <vector>

namespace savorymount::membership
{

/// Where an instance sends its reports.
///
/// In a small deployment each instance reports to all others. In a large one it reports only to the
/// instances of its own data centre; one of these, the relay, exchanges the reports of all of them
/// with the relays of the other data centres and reads the platform's store for its own. Relays are
/// not agreed on: each instance ranks those that it hears from by weight and rendezvous hashing.
/// Two relays at a time do no harm, since each report carries the sequence number of its origin.
struct report_routes
{
    bool uses_relays = false;
    bool local_is_relay = false;
    /// Addresses of the instances that get reports directly.
    std::vector<std::string> neighbours;
    /// Addresses of the probable relays of the other data centres.
    std::vector<std::string> remote_relays;

    bool operator==(report_routes const&) const = default;
};

report_routes find_report_routes(base::time_point now, peer_table const& table);

} // namespace savorymount::membership
