#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/base/time.hpp>
#include <savorymount/routing/upstream_table.hpp>

#include <optional>
#include <set>
#include <string>

namespace savorymount::routing
{

struct service_request
{
    std::string service;
    std::string local_data_centre;
    /// Upstreams that already got an attempt of this request.
    std::set<std::string> tried;
    /// The only software version that may run it; any if empty.
    std::optional<std::string> software_version;

    bool operator==(service_request const&) const = default;
};

/// Chooses the upstream of a service without engines that has the shortest expected wait. Prefers
/// the local data centre while its upstreams have free slots. Meant for short requests to upstreams
/// with few slots. Empty when every upstream is full or unavailable.
std::optional<std::string> choose_upstream(base::time_point now, service_request const& request,
                                           upstream_table& table, base::random_source& random);

} // namespace savorymount::routing
