#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/gateway/admission.hpp>
#include <savorymount/gateway/caller_request.hpp>
#include <savorymount/gateway/cluster_state.hpp>
#include <savorymount/routing/upstream_table.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace savorymount::gateway
{

/// The upstream that was chosen for a request, and what the gateway adds to the request.
struct placed_request
{
    membership::upstream_record upstream;
    upstream_request request;
    routing::request_size size;
    base::duration expected_wait{};
    /// Running and queued requests at the upstream when it was chosen.
    double upstream_requests = 0;

    bool operator==(placed_request const&) const = default;
};

/// Which upstreams may get the next attempt of a request.
struct upstream_constraints
{
    /// Upstreams that already got an attempt.
    std::set<std::string> tried_upstreams;
    /// The software version that began the stream; empty before its first event.
    std::optional<std::string> software_version;

    bool operator==(upstream_constraints const&) const = default;
};

/// The least urgent priority that engines know.
inline constexpr std::int32_t max_priority = 9;

/// Priority of a request, 0 being the most urgent: that of its workspace, or of its route.
std::int32_t priority_of(admitted_request const& admitted);

/// Chooses a service at random, by the weights of the route's traffic shares.
std::string choose_service(configuration::service_route const& route, base::random_source& random);

/// Chooses an upstream within the constraints. Empty if none is available. For a model engine, the
/// prompt parts are recorded as sent to it.
std::optional<placed_request>
place_request(base::time_point now, cluster_state& cluster, base::random_source& random,
              admitted_request const& admitted, caller_request const& request,
              std::string const& service, upstream_constraints const& constraints);

} // namespace savorymount::gateway
