#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/routing/route_request.hpp>
#include <savorymount/routing/upstream_load.hpp>

namespace savorymount::routing
{

/// A uniformly random candidate.
routing_policy make_random_policy(base::random_source& random);

/// The candidates in turn.
routing_policy make_round_robin_policy();

/// The candidate with the least estimated load; scans all candidates.
routing_policy make_least_loaded_policy(upstream_load const& load, base::random_source& random);

/// The first candidate in the order of preference of the whole prefix, which is the prompt without
/// its last message.
routing_policy make_consistent_hash_policy();

} // namespace savorymount::routing
