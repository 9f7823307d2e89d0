#include "utilities/bench/bench_results.hpp"
#include "utilities/bench/decision_time.hpp"
#include "utilities/bench/report.hpp"

#include <boost/program_options.hpp>

#include <cstdint>
#include <exception>
#include <iostream>
#include <optional>
#include <string>

namespace
{

namespace options = boost::program_options;
using namespace savorymount::bench;

/// Seeds start here; the same number of seeds always means the same runs.
constexpr std::uint64_t first_seed = 1;
constexpr std::size_t large_fleet = 12'000;
constexpr int wrong_usage = 2;

bool known_deployment(std::string const& name)
{
    for (deployment const& it : deployments())
    {
        if (it.name == name)
            return true;
    }
    return false;
}

void run_case(bench_results& results, deployment const& of, workload_kind kind, std::uint64_t seeds)
{
    for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed)
    {
        auto const requests = generate(of, kind, seed);
        for (arm const choice : all_arms())
            results.add(of.name, kind, choice, simulate(of, kind, requests, choice, seed));
    }
}

int run(options::variables_map const& values)
{
    std::string const only_deployment = values["deployment"].as<std::string>();
    std::string const only_workload = values["workload"].as<std::string>();
    auto const seeds = values["seeds"].as<std::uint64_t>();
    if ((!only_deployment.empty() && !known_deployment(only_deployment)) ||
        (!only_workload.empty() && !parse_workload(only_workload)) || seeds == 0)
    {
        std::cerr << "unknown deployment or workload, or no seeds; see --help\n";
        return wrong_usage;
    }
    bench_results results;
    for (deployment const& of : deployments())
    {
        if (!only_deployment.empty() && of.name != only_deployment)
            continue;
        for (workload_kind const kind : all_workloads())
        {
            if (!only_workload.empty() && kind != parse_workload(only_workload))
                continue;
            std::cerr << "running " << of.name << ", " << to_string(kind) << "\n";
            run_case(results, of, kind, seeds);
        }
    }
    std::optional<decision_cost> decision;
    if (values["decision-time"].as<bool>())
        decision = measure_decision(large_fleet);
    write_table(std::cout, results);
    write_targets(std::cout, results, decision);
    write_files(values["output"].as<std::string>(), results);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description all(
        "Usage: savorymount-bench [OPTIONS]\n"
        "Measures the routing decisions against baselines on a virtual clock. Deterministic per "
        "seed, except for the time of one decision.\n\nOptions");
    all.add_options()("help", "print this text")(
        "seeds", options::value<std::uint64_t>()->default_value(5),
        "number of seeds per case")("deployment", options::value<std::string>()->default_value(""),
                                    "replating or rafting; both if empty")(
        "workload", options::value<std::string>()->default_value(""),
        "steady, overload, overload-unlimited, hot-prefix, moving-prefix, engine-crash or "
        "entry-restart; all if empty")("output",
                                       options::value<std::string>()->default_value("results"),
                                       "folder of the CSV file and the plots")(
        "decision-time", options::value<bool>()->default_value(true),
        "measure the time of one decision at 12,000 upstreams");
    try
    {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, all), values);
        options::notify(values);
        if (values.contains("help"))
        {
            std::cout << all;
            return 0;
        }
        return run(values);
    }
    catch (options::error const& problem)
    {
        std::cerr << problem.what() << "; see --help\n";
        return wrong_usage;
    }
    catch (std::exception const& problem)
    {
        std::cerr << problem.what() << "\n";
        return 1;
    }
}
