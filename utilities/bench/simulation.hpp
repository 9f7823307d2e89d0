#pragma once

#include "utilities/bench/deployment.hpp"
#include "utilities/bench/workload.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace savorymount::bench
{

/// A way to choose the upstream.
enum class arm
{
    random,
    round_robin,
    least_loaded,
    consistent_hash,
    router
};

std::vector<arm> const& all_arms();
std::string_view to_string(arm of);

/// What one run measured.
struct run_result
{
    /// Cached over all shareable blocks, by the engines and by the oracle.
    double hit_rate = 0;
    double oracle_hit_rate = 0;
    /// The same between 5 s and 10 s after each event.
    double recovered_hit_rate = 0;
    double recovered_oracle_hit_rate = 0;
    /// Milliseconds from arrival to first token.
    double first_token_p50 = 0;
    double first_token_p95 = 0;
    double first_token_p99 = 0;
    /// Share of the shareable blocks that were computed although another engine had them cached.
    double recomputed_share = 0;
    /// The p99 of each workspace, and the largest of them, in milliseconds.
    std::vector<double> workspace_p99;
    double worst_p99 = 0;
    /// Least share of a workspace's admitted tokens that was served by the end. Without the
    /// workspace that is overloaded.
    double worst_served_share = 0;
    /// Share of the admitted requests that every agent tried refused.
    double wrongful_refusals = 0;
};

/// Runs requests of one workload against one arm on a virtual clock.
run_result simulate(deployment const& of, workload_kind kind,
                    std::vector<simulated_request> const& requests, arm choice, std::uint64_t seed);

} // namespace savorymount::bench
