#include "utilities/bench/bench_results.hpp"

#include <algorithm>
#include <set>

namespace savorymount::bench
{

void bench_results::add(std::string const& deployment, workload_kind kind, arm choice,
                        run_result const& result)
{
    runs_[{deployment, kind, choice}].push_back(result);
}

std::vector<std::pair<std::string, workload_kind>> bench_results::cases() const
{
    std::set<std::pair<std::string, workload_kind>> out;
    for (auto const& it : runs_)
        out.emplace(std::get<0>(it.first), std::get<1>(it.first));
    return {out.begin(), out.end()};
}

std::vector<run_result> const& bench_results::runs(std::string const& deployment,
                                                   workload_kind kind, arm choice) const
{
    static std::vector<run_result> const none;
    auto const it = runs_.find({deployment, kind, choice});
    return it == runs_.end() ? none : it->second;
}

spread bench_results::of(std::string const& deployment, workload_kind kind, arm choice,
                         measure const& figure) const
{
    std::vector<double> values;
    for (run_result const& it : runs(deployment, kind, choice))
        values.push_back(figure.value(it));
    return spread_of(values);
}

spread bench_results::to_best_baseline(std::string const& deployment, workload_kind kind,
                                       measure const& figure) const
{
    auto const& own = runs(deployment, kind, arm::router);
    std::vector<double> values;
    for (std::size_t seed = 0; seed < own.size(); ++seed)
    {
        std::optional<double> best;
        for (arm const baseline : all_arms())
        {
            if (baseline == arm::router)
                continue;
            double const value = figure.value(runs(deployment, kind, baseline)[seed]);
            if (!best || (figure.higher_is_better ? value > *best : value < *best))
                best = value;
        }
        double const value = figure.value(own[seed]);
        values.push_back(*best == value ? 1.0 : value / *best);
    }
    return spread_of(values);
}

spread bench_results::to_oracle(std::string const& deployment, workload_kind kind, arm choice,
                                bool recovered) const
{
    std::vector<double> values;
    for (run_result const& it : runs(deployment, kind, choice))
        values.push_back(recovered ? it.recovered_hit_rate / it.recovered_oracle_hit_rate
                                   : it.hit_rate / it.oracle_hit_rate);
    return spread_of(values);
}

std::optional<spread> bench_results::isolation(std::string const& deployment,
                                               workload_kind overload, arm choice) const
{
    auto const& calm = runs(deployment, workload_kind::steady, choice);
    auto const& loaded = runs(deployment, overload, choice);
    if (calm.empty() || calm.size() != loaded.size())
        return std::nullopt;
    std::vector<double> values;
    for (std::size_t seed = 0; seed < calm.size(); ++seed)
    {
        double worst = 0;
        for (std::size_t i = 0; i < calm[seed].workspace_p99.size(); ++i)
        {
            if (i != disturbing_workspace)
                worst =
                    std::max(worst, loaded[seed].workspace_p99[i] / calm[seed].workspace_p99[i]);
        }
        values.push_back(worst);
    }
    return spread_of(values);
}

} // namespace savorymount::bench
