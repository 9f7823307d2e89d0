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

/// The properties of a request that the choice of an upstream depends on.
struct route_request
{
    /// Blocks of the prompt; null for requests without a prompt, which are routed by load only.
    prompt_prefix const* prefix = nullptr;
    /// Upstreams that already got an attempt of this request; never chosen again.
    std::span<upstream_id const> tried;
};

/// The upstreams that may be chosen.
struct candidate_set
{
    /// The upstreams that serve the model, adapter and version.
    candidate_pool const* pool = nullptr;
    /// Share of its normal traffic that a member may get: 0 for ejected and draining members,
    /// between 0 and 1 during slow start. Empty means 1 for all.
    std::function<double(upstream_id)> traffic_share;
};

/// One upstream of a ranking.
struct ranked_upstream
{
    upstream_id upstream = 0;
    /// Expected cost; includes the expected time to the first token.
    base::duration cost{0};
    /// Leading blocks that are expected to be cached on the upstream.
    std::size_t expected_cached_blocks = 0;
    /// Prompt tokens that the upstream is expected to prefill.
    std::uint64_t expected_prefill_tokens = 0;
    /// Leading blocks for which this router instance has a cache hint.
    std::size_t hinted_blocks = 0;

    bool operator==(ranked_upstream const&) const = default;
};

/// Upstreams in the order in which they should be tried; empty when none may be chosen.
using ranked_upstreams = std::vector<ranked_upstream>;

/// A routing policy; implemented by the router and the baselines.
using routing_policy =
    std::function<ranked_upstreams(base::time_point, route_request const&, candidate_set const&)>;

} // namespace savorymount::routing
