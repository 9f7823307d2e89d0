#include <exception>
#include <iostream>
#include <tests/soak/soak_run.hpp>
#include <tests/stand_ins/stand_in.hpp>

namespace
{

using namespace savorymount;

/// Plays one seed and returns the exit code.
int play(int argc, char const* const* argv)
{
    runtime::settings_parser parser("savorymount-soak");
    parser.add("seed", "1", "seed of the plan and of the callers")
        .add("seconds", "12", "seconds in which faults come")
        .add("gateways", "3", "gateways")
        .add("engines", "4", "model engines")
        .add("desks", "2", "plain upstreams")
        .add("callers", "10", "callers")
        .add("log-folder", "", "where logs go if a promise is broken");
    auto const settings = stand_ins::parse_settings(argc, argv, parser);
    auto const number = [&](char const* name)
    {
        return stand_ins::number(settings, name, 1);
    };
    soak::soak_options options;
    options.seed = static_cast<std::uint64_t>(number("seed"));
    options.length = std::chrono::seconds(number("seconds"));
    options.size.gateways = static_cast<std::size_t>(number("gateways"));
    options.size.engines = static_cast<std::size_t>(number("engines"));
    options.size.desks = static_cast<std::size_t>(number("desks"));
    options.callers = static_cast<std::size_t>(number("callers"));
    options.log_folder = settings.text("log-folder");
    auto const report = soak::run_soak(options);
    std::cout << "seed " << options.seed << ": " << report.steps << " steps, " << report.calls
              << " calls, " << report.answered << " answered, " << report.runs << " runs, "
              << report.crashes << " crashes by a part (" << report.late_crashes << " late), "
              << report.violations.size() << " violations\n";
    for (auto const& it : report.violations)
        std::cout << "  " << it.promise << ": " << it.what << "\n";
    return report.violations.empty() ? 0 : 1;
}

} // namespace

/// Exit codes: 0 every promise held, 1 one was broken, 2 wrong usage, 3 the run could not be
/// played.
int main(int argc, char** argv)
{
    // Without the handler an exception would leave the processes of the run behind.
    try
    {
        return play(argc, argv);
    }
    catch (std::exception const& ec)
    {
        std::cerr << "savorymount-soak: " << ec.what() << "\n";
        return 3;
    }
}
