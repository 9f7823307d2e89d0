#include "utilities/bench/report.hpp"

#include "utilities/bench/bar_chart.hpp"

#include <fstream>
#include <iomanip>
#include <sstream>

namespace savorymount::bench
{
namespace
{

std::string number(double value)
{
    std::ostringstream out;
    int const digits = value >= 100 ? 0 : (value >= 10 ? 1 : 3);
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

std::string text(spread const& of)
{
    return number(of.median) + " [" + number(of.least) + " " + number(of.most) + "]";
}

bool nested_prefixes(workload_kind kind)
{
    return kind == workload_kind::steady || kind == workload_kind::hot_prefix ||
           kind == workload_kind::moving_prefix;
}

bool shifted(workload_kind kind)
{
    return kind == workload_kind::hot_prefix || kind == workload_kind::moving_prefix ||
           kind == workload_kind::entry_restart || kind == workload_kind::engine_crash;
}

void write_target(std::ostream& out, std::string const& name, double value, bool at_least,
                  double target)
{
    bool const met = at_least ? value >= target : value <= target;
    out << (met ? "met     " : "MISSED  ") << std::left << std::setw(62) << name << number(value)
        << (at_least ? " >= " : " <= ") << number(target) << "\n";
}

measure const& find_measure(std::string const& name)
{
    for (measure const& it : measures())
    {
        if (it.name == name)
            return it;
    }
    return measures().front();
}

} // namespace

void write_table(std::ostream& out, bench_results const& results)
{
    for (auto const& [name, kind] : results.cases())
    {
        out << "\n"
            << name << ", " << to_string(kind) << ": median [least most] over "
            << results.runs(name, kind, arm::router).size() << " seeds\n";
        out << std::left << std::setw(22) << "";
        for (arm const choice : all_arms())
            out << std::setw(23) << to_string(choice);
        out << "router/best baseline\n";
        for (measure const& figure : measures())
        {
            out << std::setw(22) << figure.name + (figure.unit.empty() ? "" : " " + figure.unit);
            for (arm const choice : all_arms())
                out << std::setw(23) << text(results.of(name, kind, choice, figure));
            out << text(results.to_best_baseline(name, kind, figure)) << "\n";
        }
        out << std::setw(22) << "hit rate/oracle";
        for (arm const choice : all_arms())
            out << std::setw(23) << text(results.to_oracle(name, kind, choice, false));
        out << "\n" << std::setw(22) << "recovered/oracle";
        for (arm const choice : all_arms())
            out << std::setw(23) << text(results.to_oracle(name, kind, choice, true));
        out << "\n";
        for (arm const choice : all_arms())
        {
            auto const isolation = results.isolation(name, kind, choice);
            if (kind == workload_kind::steady || !isolation)
                continue;
            if (choice == all_arms().front())
                out << std::setw(22) << "others' p99/steady";
            out << std::setw(23) << text(*isolation);
            if (choice == all_arms().back())
                out << "\n";
        }
    }
}

void write_targets(std::ostream& out, bench_results const& results,
                   std::optional<decision_cost> const& decision)
{
    out << "\nTargets of section 1.3 (medians)\n";
    measure const& tail = find_measure("first-token-p99");
    measure const& refusals = find_measure("wrongful-refusals");
    for (auto const& [name, kind] : results.cases())
    {
        std::string const where = name + ", " + std::string(to_string(kind)) + ": ";
        if (kind == workload_kind::steady)
            write_target(out, where + "hit rate / oracle",
                         results.to_oracle(name, kind, arm::router, false).median, true, 0.95);
        if (shifted(kind))
            write_target(out, where + "hit rate / oracle, 5 to 10 s after",
                         results.to_oracle(name, kind, arm::router, true).median, true, 0.85);
        write_target(out, where + "p99 first token / best baseline",
                     results.to_best_baseline(name, kind, tail).median, false,
                     nested_prefixes(kind) ? 0.5 : 1.1);
        auto const isolation = results.isolation(name, kind, arm::router);
        if (kind == workload_kind::overload && isolation)
            write_target(out, where + "others' p99 / steady", isolation->median, false, 1.2);
        if (kind == workload_kind::steady)
            write_target(out, where + "wrongful refusals",
                         results.of(name, kind, arm::router, refusals).median, false, 0.001);
    }
    if (!decision)
        return;
    std::string const fleet = std::to_string(decision->upstreams) + " upstreams: ";
    write_target(out, fleet + "microseconds per decision, p99", decision->p99, false, 20);
    write_target(out, fleet + "megabytes of state",
                 static_cast<double>(decision->state_bytes) / (1 << 20), false, 64);
    out << "        " << fleet << "decision mean " << number(decision->mean)
        << " us, feedback mean " << number(decision->feedback_mean) << " us, whole scan "
        << number(decision->scan_mean) << " us, decision / scan "
        << number(decision->mean / decision->scan_mean) << "\n";
}

void write_files(std::filesystem::path const& folder, bench_results const& results)
{
    std::filesystem::create_directories(folder);
    std::ofstream csv(folder / "bench.csv");
    csv << "deployment,workload,arm,measure,unit,median,least,most\n";
    for (measure const& figure : measures())
    {
        bar_chart chart(figure.name + (figure.unit.empty() ? "" : " (" + figure.unit + ")"));
        for (auto const& [name, kind] : results.cases())
        {
            std::string const group = name + " " + std::string(to_string(kind));
            for (arm const choice : all_arms())
            {
                spread const it = results.of(name, kind, choice, figure);
                csv << name << ',' << to_string(kind) << ',' << to_string(choice) << ','
                    << figure.name << ',' << figure.unit << ',' << it.median << ',' << it.least
                    << ',' << it.most << "\n";
                chart.add(group, std::string(to_string(choice)), it);
            }
            spread const best = results.to_best_baseline(name, kind, figure);
            csv << name << ',' << to_string(kind) << ",router/best-baseline," << figure.name
                << ",ratio," << best.median << ',' << best.least << ',' << best.most << "\n";
        }
        std::ofstream(folder / (figure.name + ".svg")) << chart.svg();
    }
    for (auto const& [name, kind] : results.cases())
    {
        for (bool const recovered : {false, true})
        {
            spread const it = results.to_oracle(name, kind, arm::router, recovered);
            csv << name << ',' << to_string(kind) << ",router/oracle,"
                << (recovered ? "recovered-hit-rate" : "hit-rate") << ",ratio," << it.median << ','
                << it.least << ',' << it.most << "\n";
        }
    }
}

} // namespace savorymount::bench
