#pragma once

#include "utilities/bench/measure.hpp"
#include "utilities/bench/simulation.hpp"
#include "utilities/bench/workload.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace savorymount::bench
{

/// The runs of all deployments, workloads, arms and seeds, and what is derived from them.
class bench_results
{
public:
    /// One result per seed, in the same order for every key.
    using key = std::tuple<std::string, workload_kind, arm>;

    void add(std::string const& deployment, workload_kind kind, arm choice,
             run_result const& result);

    std::vector<std::pair<std::string, workload_kind>> cases() const;

    std::vector<run_result> const& runs(std::string const& deployment, workload_kind kind,
                                        arm choice) const;

    spread of(std::string const& deployment, workload_kind kind, arm choice,
              measure const& figure) const;

    /// The router's figure over that of the best baseline of the same seed.
    spread to_best_baseline(std::string const& deployment, workload_kind kind,
                            measure const& figure) const;

    /// An arm's hit rate over the oracle's; `recovered` takes the windows after the events.
    spread to_oracle(std::string const& deployment, workload_kind kind, arm choice,
                     bool recovered) const;

    /// Largest ratio over the other workspaces of the p99 under overload to that of the steady run;
    /// empty when one of the runs is missing.
    std::optional<spread> isolation(std::string const& deployment, workload_kind overload,
                                    arm choice) const;

private:
    std::map<key, std::vector<run_result>> runs_;
};

} // namespace savorymount::bench
