#include "utilities/bench/measure.hpp"

#include <algorithm>

namespace savorymount::bench
{

std::vector<measure> const& measures()
{
    static std::vector<measure> const all{
        {"hit-rate", "", true,
         [](run_result const& it)
         {
             return it.hit_rate;
         }},
        {"recovered-hit-rate", "", true,
         [](run_result const& it)
         {
             return it.recovered_hit_rate;
         }},
        {"first-token-p50", "ms", false,
         [](run_result const& it)
         {
             return it.first_token_p50;
         }},
        {"first-token-p95", "ms", false,
         [](run_result const& it)
         {
             return it.first_token_p95;
         }},
        {"first-token-p99", "ms", false,
         [](run_result const& it)
         {
             return it.first_token_p99;
         }},
        {"recomputed-share", "", false,
         [](run_result const& it)
         {
             return it.recomputed_share;
         }},
        {"worst-workspace-p99", "ms", false,
         [](run_result const& it)
         {
             return it.worst_p99;
         }},
        {"worst-served-share", "", true,
         [](run_result const& it)
         {
             return it.worst_served_share;
         }},
        {"wrongful-refusals", "", false,
         [](run_result const& it)
         {
             return it.wrongful_refusals;
         }},
    };
    return all;
}

spread spread_of(std::vector<double> values)
{
    if (values.empty())
        return {};
    std::sort(values.begin(), values.end());
    std::size_t const middle = values.size() / 2;
    double const median =
        values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
    return {median, values.front(), values.back()};
}

} // namespace savorymount::bench
