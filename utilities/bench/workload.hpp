#pragma once

#include "utilities/bench/deployment.hpp"
#include <savorymount/base/time.hpp>
#include <savorymount/routing/prompt_prefix.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace savorymount::bench
{

enum class workload_kind
{
    steady,
    /// One workspace sends five times its rate; the limits admit its contract only.
    overload,
    /// The same without limits, so that only queueing and routing protect the others.
    overload_unlimited,
    /// A rulebook of one workspace gets most of the traffic.
    hot_prefix,
    /// Such a rulebook, replaced by another one every 20 s.
    moving_prefix,
    /// An engine crashes and comes back empty.
    engine_crash,
    /// All entries restart with empty hints.
    entry_restart
};

std::vector<workload_kind> const& all_workloads();
std::string_view to_string(workload_kind kind);
std::optional<workload_kind> parse_workload(std::string_view name);

constexpr base::duration run_length = std::chrono::seconds(240);
/// Measured from here on; before, the caches fill.
constexpr base::duration warm_up = std::chrono::seconds(40);
/// Time of the crash, of the restart and of the first move, and start of overload and hot traffic.
constexpr base::duration event_time = std::chrono::seconds(80);
constexpr base::duration move_interval = std::chrono::seconds(20);
/// The workspace that is overloaded or has the hot rulebook.
constexpr std::size_t disturbing_workspace = 1;
constexpr double overload_factor = 5.0;
/// Share of the requests with the hot rulebook during hot traffic.
constexpr double hot_share = 0.6;

/// Rates of the contracts relative to the mean traffic, and their burst.
constexpr double contract_margin = 1.3;
constexpr base::duration contract_burst = std::chrono::seconds(10);

struct simulated_request
{
    base::time_point arrival{};
    std::size_t workspace = 0;
    std::size_t entry = 0;
    routing::prompt_prefix prefix;
    std::uint64_t answer_tokens = 0;
};

/// The requests of one run in order of arrival. Each workspace draws from a stream of its own, so
/// that a disturbance leaves the requests of the others unchanged.
std::vector<simulated_request> generate(deployment const& of, workload_kind kind,
                                        std::uint64_t seed);

} // namespace savorymount::bench
