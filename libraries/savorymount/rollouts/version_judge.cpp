#include <savorymount/rollouts/version_judge.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace savorymount::rollouts
{
namespace
{

constexpr std::uint32_t min_bad_answers = 6;
// Logarithm of 1e-5. Each look at each route and step is a test, and there are many of them; most
// see nearly the same answers.
constexpr double max_log_chance = -11.5;
// Failures of a bad version are a share of its answers and not a few in a thousand.
constexpr double min_rate_ratio = 2;
constexpr double min_failure_rate_gap = 0.02;
// Load moves the rate of slow answers by more than chance does.
constexpr double min_slow_rate_gap = 0.1;
// A bad version is bad at most of its upstreams. At most one in so many is left out, and only if
// its part of the bad answers is one that chance gives in less than a twentieth of all cases.
constexpr std::size_t upstreams_per_outlier = 4;
constexpr double max_log_chance_of_sound_upstream = -3;
// With few answers an upstream's own fault can't be told from chance yet. Until then, the version
// is not bad unless the others show it as well, with a chance of one in a hundred.
constexpr double min_bad_answers_elsewhere = 2;
constexpr double max_log_chance_elsewhere = -4.6;

enum class badness
{
    failure,
    failure_or_slow
};

std::uint32_t bad_count(answer_counts const& it, badness kind)
{
    return kind == badness::failure ? it.failures : it.failures + it.slow;
}

struct stratum
{
    double target_answers = 0;
    double target_bad = 0;
    double other_answers = 0;
    double other_bad = 0;
};

/// The part of the evidence that one test looks at.
struct selection
{
    /// Empty for all routes.
    std::string route;
    /// Empty for all steps.
    std::optional<rollout_step> step;
    badness kind = badness::failure;

    bool contains(evidence_key const& key) const
    {
        return (route.empty() || key.route == route) && (!step || key.step == *step);
    }
};

/// Logarithm of a bound on the chance that `found` or more of `all` bad answers are the target's,
/// where `expected` are due. Conditional on their number, each one is the target's with the chance
/// that its stratum gives; Chernoff's bound for the average chance holds for their sum.
double log_chance(double found, double expected, double all)
{
    if (found <= expected || all <= 0)
        return 0;
    auto const term = [](double part, double chance)
    {
        return part > 0 ? part * std::log(part / chance) : 0;
    };
    auto const part = found / all;
    auto const chance = expected / all;
    return -all * (term(part, chance) + term(1 - part, 1 - chance));
}

/// The target's upstreams whose bad answers are their own fault and not the version's. `worst` is
/// set to the one with the most of them, if there are several.
std::set<std::uint32_t> find_outliers(evidence_counts const& total, selection const& selected,
                                      std::uint32_t& worst)
{
    std::map<std::uint32_t, std::pair<double, double>> by_upstream;
    double all_bad = 0;
    double all_answers = 0;
    for (auto const& [key, counts] : total)
    {
        if (key.upstream == other_versions || !selected.contains(key))
            continue;
        auto& [bad, answers] = by_upstream[key.upstream];
        bad += bad_count(counts, selected.kind);
        answers += counts.answers;
        all_bad += bad_count(counts, selected.kind);
        all_answers += counts.answers;
    }
    worst = other_versions;
    double most_bad = 0;
    for (auto const& [upstream, it] : by_upstream)
    {
        if (by_upstream.size() > 1 &&
            std::exchange(most_bad, std::max(most_bad, it.first)) < it.first)
            worst = upstream;
    }
    std::vector<std::pair<double, std::uint32_t>> suspects;
    for (auto const& [upstream, it] : by_upstream)
    {
        auto const chance = log_chance(it.first, all_bad * it.second / all_answers, all_bad);
        if (chance <= max_log_chance_of_sound_upstream)
            suspects.emplace_back(chance, upstream);
    }
    std::sort(suspects.begin(), suspects.end());
    auto const max_outliers =
        (by_upstream.size() + upstreams_per_outlier - 1) / upstreams_per_outlier;
    suspects.resize(std::min(suspects.size(), max_outliers));
    std::set<std::uint32_t> out;
    for (auto const& it : suspects)
        out.insert(it.second);
    return out;
}

std::map<std::pair<rollout_step, std::string>, stratum>
make_strata(evidence_counts const& total, selection const& selected,
            std::set<std::uint32_t> const& outliers)
{
    std::map<std::pair<rollout_step, std::string>, stratum> out;
    for (auto const& [key, counts] : total)
    {
        if (!selected.contains(key) || outliers.contains(key.upstream))
            continue;
        auto& it = out[{key.step, key.route}];
        bool const is_target = key.upstream != other_versions;
        (is_target ? it.target_answers : it.other_answers) += counts.answers;
        (is_target ? it.target_bad : it.other_bad) += bad_count(counts, selected.kind);
    }
    return out;
}

struct comparison
{
    double answers = 0;
    double bad = 0;
    /// Bad answers of both versions.
    double all_bad = 0;
    /// Bad answers of the target if both versions were alike.
    double expected = 0;
    /// The same by the rate of the other versions alone.
    double expected_by_others = 0;
};

comparison compare(std::map<std::pair<rollout_step, std::string>, stratum> const& strata)
{
    comparison out;
    for (auto const& [key, it] : strata)
    {
        // Without answers of both versions at the same time there is nothing to compare.
        if (it.target_answers == 0 || it.other_answers == 0)
            continue;
        auto const bad = it.target_bad + it.other_bad;
        out.answers += it.target_answers;
        out.bad += it.target_bad;
        out.all_bad += bad;
        out.expected += it.target_answers * bad / (it.target_answers + it.other_answers);
        out.expected_by_others += it.target_answers * it.other_bad / it.other_answers;
    }
    return out;
}

std::optional<bad_version> judge(evidence_counts const& total, selection const& selected)
{
    auto worst = other_versions;
    auto outliers = find_outliers(total, selected, worst);
    auto const it = compare(make_strata(total, selected, outliers));
    auto const gap = selected.kind == badness::failure ? min_failure_rate_gap : min_slow_rate_gap;
    if (it.bad < min_bad_answers || it.bad < min_rate_ratio * it.expected_by_others ||
        it.bad < it.expected_by_others + gap * it.answers ||
        log_chance(it.bad, it.expected, it.all_bad) > max_log_chance)
        return std::nullopt;
    if (worst != other_versions)
    {
        outliers.insert(worst);
        auto const elsewhere = compare(make_strata(total, selected, outliers));
        if (elsewhere.bad < min_bad_answers_elsewhere ||
            log_chance(elsewhere.bad, elsewhere.expected, elsewhere.all_bad) >
                max_log_chance_elsewhere)
            return std::nullopt;
    }
    return bad_version{selected.route, selected.kind == badness::failure,
                       static_cast<std::uint32_t>(it.answers), static_cast<std::uint32_t>(it.bad),
                       it.expected_by_others};
}

} // namespace

std::optional<bad_version> judge(evidence_counts const& total)
{
    // A version that is bad under load only is so in the later steps, and hides behind the answers
    // of the first one.
    std::set<std::string> routes{""};
    std::set<std::optional<rollout_step>> steps{std::nullopt};
    for (auto const& [key, counts] : total)
    {
        routes.insert(key.route);
        steps.insert(key.step);
    }
    for (auto const kind : {badness::failure, badness::failure_or_slow})
    {
        for (auto const& route : routes)
        {
            for (auto const& step : steps)
            {
                if (auto found = judge(total, selection{route, step, kind}))
                    return found;
            }
        }
    }
    return std::nullopt;
}

std::uint64_t answers_on_each_route(evidence_counts const& total, rollout_step step)
{
    std::map<std::string, std::uint64_t> by_route;
    for (auto const& [key, counts] : total)
    {
        bool const counts_here = key.upstream != other_versions && key.step == step;
        by_route[key.route] += counts_here ? counts.answers : 0;
    }
    if (by_route.empty())
        return 0;
    return std::min_element(by_route.begin(), by_route.end(),
                            [](auto const& a, auto const& b) { return a.second < b.second; })
        ->second;
}

} // namespace savorymount::rollouts
