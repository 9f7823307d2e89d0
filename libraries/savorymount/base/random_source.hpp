#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace savorymount::base
{

/// Seeded pseudo-random numbers. Passed by reference, so that a run can be reproduced by its seed.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    /// A uniform integer in [0, bound); `bound` must be positive.
    std::uint64_t uniform_below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
    }

    /// A uniform real number in [0, 1).
    double uniform_real() { return std::uniform_real_distribution<double>(0.0, 1.0)(engine_); }

    /// A random 64-bit number.
    std::uint64_t next() { return engine_(); }

private:
    std::mt19937_64 engine_;
};

} // namespace savorymount::base
