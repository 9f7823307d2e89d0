#pragma once

#include <savorymount/rollouts/rollout_order.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace savorymount::rollouts
{

/// Which answers are counted together.
struct evidence_key
{
    rollout_step step = rollout_step::probe;
    std::string route;
    /// Digest of the target's upstream; `other_versions` for all upstreams of other versions.
    std::uint32_t upstream = 0;

    auto operator<=>(evidence_key const&) const = default;
};

inline constexpr std::uint32_t other_versions = 0;

/// Digest of an upstream's id, never `other_versions`.
std::uint32_t upstream_digest(std::string_view upstream);

/// Counts since the start of a process.
struct answer_counts
{
    std::uint32_t answers = 0;
    /// Server errors of the upstream itself.
    std::uint32_t failures = 0;
    /// Answers without failure that took several times the usual time.
    std::uint32_t slow = 0;

    bool operator==(answer_counts const&) const = default;
};

using evidence_counts = std::map<evidence_key, answer_counts>;

/// Answers of the upstreams during one roll-out, as all instances counted them.
///
/// Counts are cumulative for each process of an instance: a report that is lost is made up for by
/// the next one, and what a process reported before its end still counts.
class answer_evidence
{
public:
    /// The local process received an answer.
    void record(evidence_key const& key, bool failed, bool slow);

    /// Adds a report of another process; a late one never lowers a count.
    void add_report(std::string const& process, evidence_counts const& reported);

    evidence_counts const& local() const { return local_; }
    /// The sum over all processes.
    evidence_counts const& total() const { return total_; }

private:
    evidence_counts local_;
    std::map<std::string, evidence_counts> reported_;
    evidence_counts total_;
};

} // namespace savorymount::rollouts
