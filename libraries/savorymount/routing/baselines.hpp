#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/routing/route_request.hpp>
#include <savorymount/routing/upstream_load.hpp>

namespace savorymount::routing
{

/// A uniformly random candidate.
choose_function make_random_choice(base::random_source& random);

/// The candidates in turn.
choose_function make_round_robin_choice();

/// The candidate with the least estimated load; scans all candidates.
choose_function make_least_loaded_choice(upstream_load const& load, base::random_source& random);

/// The first candidate in the order of preference of the whole prefix, which is the prompt without
/// its last message.
choose_function make_consistent_hash_choice();

} // namespace savorymount::routing
