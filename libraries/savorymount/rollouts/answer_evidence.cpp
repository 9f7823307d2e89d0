#include <savorymount/rollouts/answer_evidence.hpp>

#include <algorithm>

namespace savorymount::rollouts
{
namespace
{

/// Raises `known` to `reported` and adds the difference to `total`.
void raise(std::uint32_t& known, std::uint32_t& total, std::uint32_t reported)
{
    auto const gain = std::max(known, reported) - known;
    known += gain;
    total += gain;
}

} // namespace

std::uint32_t upstream_digest(std::string_view upstream)
{
    constexpr std::uint32_t offset_basis = 2166136261U;
    constexpr std::uint32_t prime = 16777619U;
    // FNV-1a, which is the same in all builds, since instances add counts up by it.
    auto out = offset_basis;
    for (auto const it : upstream)
        out = (out ^ static_cast<unsigned char>(it)) * prime;
    return out == other_versions ? prime : out;
}

void answer_evidence::record(evidence_key const& key, bool failed, bool slow)
{
    for (auto* const it : {&local_[key], &total_[key]})
    {
        it->answers += 1;
        it->failures += failed ? 1 : 0;
        it->slow += slow && !failed ? 1 : 0;
    }
}

void answer_evidence::add_report(std::string const& process, evidence_counts const& reported)
{
    auto& known_of_process = reported_[process];
    for (auto const& [key, counts] : reported)
    {
        auto& known = known_of_process[key];
        auto& total = total_[key];
        raise(known.answers, total.answers, counts.answers);
        raise(known.failures, total.failures, counts.failures);
        raise(known.slow, total.slow, counts.slow);
    }
}

} // namespace savorymount::rollouts
