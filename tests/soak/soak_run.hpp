#pragma once

#include <savorymount/base/time.hpp>

#include <cstdint>
#include <string>
#include <tests/soak/fault_plan.hpp>
#include <tests/soak/promise_checker.hpp>
#include <vector>

namespace savorymount::soak
{

struct soak_options
{
    std::uint64_t seed = 1;
    /// How long steps come; a stable stretch follows.
    base::duration length = std::chrono::seconds(12);
    deployment_size size;
    std::size_t callers = 10;
    /// Where logs and history go if a promise is broken; empty for nowhere.
    std::string log_folder;
};

/// What one run came to.
struct soak_report
{
    std::vector<violation> violations;
    std::size_t calls = 0;
    std::size_t answered = 0;
    std::size_t runs = 0;
    std::size_t steps = 0;
    /// Crashes by the crashing part, and those that came too long after the fifth one.
    std::size_t crashes = 0;
    std::size_t late_crashes = 0;

    bool operator==(soak_report const&) const = default;
};

/// Starts a deployment, plays the plan of the seed while callers use it, and checks the promises.
soak_report run_soak(soak_options const& options);

} // namespace savorymount::soak
