#include "utilities/bench/deployment.hpp"

namespace savorymount::bench
{

std::uint64_t prompt_tokens(deployment const& of)
{
    std::uint64_t out = of.question_tokens;
    for (level_shape const& it : of.levels)
        out += it.blocks * block_tokens;
    return out;
}

double request_rate(deployment const& of)
{
    auto const work = prefill_per_token * static_cast<std::int64_t>(prompt_tokens(of));
    std::chrono::duration<double> const seconds = work + request_overhead;
    return load_without_cache * static_cast<double>(of.engines) / seconds.count();
}

std::vector<deployment> const& deployments()
{
    using std::chrono::microseconds;
    static std::vector<deployment> const all{
        // House rules per workspace, clients, assay histories; three data centres 1 ms apart.
        {"replating",
         20,
         4,
         60,
         {0.4, 0.3, 0.15, 0.1, 0.05},
         {{{1, 4, 0.0}, {30, 3, 1.0}, {5, 6, 1.0}}},
         400,
         64,
         microseconds(1000)},
        // Race rules, clubs, crews; three data centres 0.5 ms apart. Classification answers are
        // short.
        {"rafting",
         12,
         4,
         60,
         {0.45, 0.3, 0.13, 0.08, 0.04},
         {{{4, 5, 0.7}, {25, 2, 1.0}, {6, 1, 1.0}}},
         400,
         16,
         microseconds(500)},
    };
    return all;
}

} // namespace savorymount::bench
