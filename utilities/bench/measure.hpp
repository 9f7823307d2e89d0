#pragma once

#include "utilities/bench/simulation.hpp"

#include <string>
#include <vector>

namespace savorymount::bench
{

/// One figure of a run as it is reported.
struct measure
{
    std::string name;
    std::string unit;
    bool higher_is_better = false;
    double (*value)(run_result const&) = nullptr;
};

std::vector<measure> const& measures();

/// Median and extremes over the seeds.
struct spread
{
    double median = 0;
    double least = 0;
    double most = 0;
};

spread spread_of(std::vector<double> values);

} // namespace savorymount::bench
