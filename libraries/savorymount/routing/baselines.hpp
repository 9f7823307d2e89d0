#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/routing/route_request.hpp>
#include <savorymount/routing/upstream_load.hpp>

namespace savorymount::routing
{

/// Chooses a uniformly random candidate.
routing_policy make_random_policy(base::random_source& random);

/// Chooses the candidates in round-robin order.
routing_policy make_round_robin_policy();

/// Scans all candidates and chooses the one with the least estimated load.
routing_policy make_least_loaded_policy(upstream_load const& load, base::random_source& random);

/// Chooses the highest-ranked candidate for the prompt without its last message.
routing_policy make_consistent_hash_policy();

} // namespace savorymount::routing
