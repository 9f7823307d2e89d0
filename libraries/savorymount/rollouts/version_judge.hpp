#pragma once

#include <savorymount/rollouts/answer_evidence.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace savorymount::rollouts
{

/// Why a version was found bad.
struct bad_version
{
    /// The route that shows it; empty for all routes together.
    std::string route;
    /// Failures alone show it, without the slow answers.
    bool by_failures = false;
    /// Answers of the target, without those of upstreams that were left out as outliers.
    std::uint32_t answers = 0;
    std::uint32_t bad_answers = 0;
    /// Bad answers that a version like the other ones would have given.
    double expected = 0;

    bool operator==(bad_version const&) const = default;
};

/// Whether the target's answers are worse than those of the other versions, beyond chance and in
/// the same time, over all routes and steps or in one of them. Empty if they are not.
///
/// The test is conditional on the total of bad answers in each stratum of step and route, so that a
/// cause which affects both versions does not count against the target. A version like the other
/// one is found bad with a probability below 1e-5 at each look.
std::optional<bad_version> judge(evidence_counts const& total);

/// The smallest number of answers of the target in a step, on any route that any version answered.
std::uint64_t answers_on_each_route(evidence_counts const& total, rollout_step step);

} // namespace savorymount::rollouts
