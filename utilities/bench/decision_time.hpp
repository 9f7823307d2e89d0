#pragma once

#include <cstddef>

namespace savorymount::bench
{

/// Processor time and state of single decisions in a large fleet.
struct decision_cost
{
    std::size_t upstreams = 0;
    /// Microseconds per decision, mean and p99, with filled hints.
    double mean = 0;
    double p99 = 0;
    /// Microseconds to note a sent and a finished request.
    double feedback_mean = 0;
    /// Microseconds of a decision by least loaded with a whole scan, for comparison.
    double scan_mean = 0;
    std::size_t state_bytes = 0;
};

/// Measures on the wall clock; the only part of the benchmark that isn't deterministic.
decision_cost measure_decision(std::size_t upstreams);

} // namespace savorymount::bench
