#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/routing/candidate_pool.hpp>
#include <savorymount/routing/prompt_prefix.hpp>
#include <savorymount/routing/upstream_id.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

namespace savorymount::routing
{

/// What the choice of an upstream depends on.
struct route_request
{
    /// Blocks of the prompt; null for plain requests, which are placed by load only.
    prompt_prefix const* prefix = nullptr;
    /// Upstreams that were tried already; never chosen again.
    std::span<upstream_id const> tried;
};

/// The upstreams that may be chosen.
struct candidate_set
{
    /// The members that hold the model, adapter and version.
    candidate_pool const* pool = nullptr;
    /// Share of its normal traffic that a member may get: 0 for ejected and leaving ones, between 0
    /// and 1 during slow start. Empty means 1 for all.
    std::function<double(upstream_id)> traffic_share;
};

/// One upstream of a choice.
struct ranked_upstream
{
    upstream_id upstream = 0;
    /// Expected time to the first token.
    base::duration cost{0};
    /// Leading blocks that are expected to be cached there.
    std::size_t expected_cached_blocks = 0;
    /// Prompt tokens that are expected to be computed there; what `sent` and `started` take.
    std::uint64_t expected_prefill_tokens = 0;
    /// Leading blocks that this entry has a hint for.
    std::size_t hinted_blocks = 0;

    bool operator==(ranked_upstream const&) const = default;
};

/// Upstreams in the order in which they should be tried; empty when none may be chosen.
using ranked_upstreams = std::vector<ranked_upstream>;

/// The choice of an upstream as a hook; the router and the baselines have this shape.
using routing_policy =
    std::function<ranked_upstreams(base::time_point, route_request const&, candidate_set const&)>;

} // namespace savorymount::routing
