#pragma once

#include "utilities/bench/bench_results.hpp"
#include "utilities/bench/decision_time.hpp"

#include <filesystem>
#include <optional>
#include <ostream>

namespace savorymount::bench
{

/// Writes the table of all cases: medians per arm with their extremes, and the router's ratios.
void write_table(std::ostream& out, bench_results const& results);

/// Writes each target of section 1.3 of the design page with its figure and whether it is met.
void write_targets(std::ostream& out, bench_results const& results,
                   std::optional<decision_cost> const& decision);

/// Writes `bench.csv` and one plot per measure; creates the folder.
void write_files(std::filesystem::path const& folder, bench_results const& results);

} // namespace savorymount::bench
