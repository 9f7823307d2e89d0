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
    /// Upstreams that this request was sent to already.
    std::set<std::string> tried;

    bool operator==(service_request const&) const = default;
};

/// Chooses the upstream of a plain service with the shortest expected wait; the own data centre
/// goes first while its upstreams have free slots. It answers loads of short calls on upstreams
/// with few slots. Empty when every upstream is full or gone.
std::optional<std::string> choose_upstream(base::time_point now, service_request const& request,
                                           upstream_table& table, base::random_source& random);

} // namespace savorymount::routing
