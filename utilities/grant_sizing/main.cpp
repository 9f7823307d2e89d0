#include "fake_fleet.hpp"

#include <iomanip>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

namespace
{

namespace base = savorymount::base;
namespace utilities = savorymount::utilities;

struct choice
{
    std::string name;
    savorymount::limits::grant_sizing sizing;
    bool report_prompts = true;
};

std::vector<choice> choices()
{
    choice only_need{"need-only", {}, true};
    only_need.sizing.prefetch_interval = base::duration::zero();
    choice large{"large", {}, true};
    large.sizing.prefetch_interval = std::chrono::seconds(5);
    large.sizing.max_burst_fraction = 1;
    return {only_need, large, {"no-prompts", {}, false}, {"default", {}, true}};
}

void print(choice const& it, utilities::fleet_load load)
{
    constexpr std::uint64_t seeds = 5;
    utilities::fleet_result sum;
    double worst = 0;
    for (load.seed = 1; load.seed <= seeds; ++load.seed)
    {
        auto const result = utilities::fake_fleet(load).run();
        auto const part = 100.0 * static_cast<double>(result.refused_wrongly) /
                          static_cast<double>(result.requests);
        worst = std::max(worst, part);
        sum.requests += result.requests;
        sum.refused += result.refused;
        sum.refused_wrongly += result.refused_wrongly;
        sum.asks += result.asks;
        sum.reports += result.reports;
    }
    auto const requests = static_cast<double>(sum.requests);
    std::cout << std::setw(10) << it.name << std::setw(8) << load.request_tokens << std::setw(8)
              << load.agents << std::setw(8) << load.burst << std::setw(7) << load.load
              << std::setw(10) << sum.requests << std::setw(9) << sum.refused << std::setw(9)
              << sum.refused_wrongly << std::setw(11)
              << 100.0 * static_cast<double>(sum.refused_wrongly) / requests << std::setw(9)
              << worst << std::setw(11) << static_cast<double>(sum.asks + sum.reports) / requests
              << '\n';
}

} // namespace

/// Measures wrongful refusals and messages of grant sizing choices, seeds 1 to 5.
int main()
{
    std::cout << std::fixed << std::setprecision(3);
    std::cout << "    sizing  tokens  agents   burst   load  requests  refused  wrongly  wrongly_% "
                 " worst_%"
                 "  msg/request\n";
    // Burst, and reserved tokens of a request: few large or many small ones.
    std::vector<std::pair<std::uint64_t, std::uint64_t>> const sizes = {
        {10'000, 600}, {40'000, 600}, {40'000, 30}};
    for (unsigned const agents : {3U, 20U})
    {
        for (auto const& [burst, tokens] : sizes)
        {
            for (double const level : {0.8, 0.95})
            {
                for (auto const& it : choices())
                {
                    utilities::fleet_load load;
                    load.agents = agents;
                    load.burst = burst;
                    load.request_tokens = tokens;
                    load.load = level;
                    load.sizing = it.sizing;
                    load.report_prompts = it.report_prompts;
                    print(it, load);
                }
            }
        }
    }
    return 0;
}
