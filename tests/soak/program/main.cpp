#include <savorymount/runtime/settings_parser.hpp>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <tests/soak/soak_run.hpp>

namespace
{

using namespace savorymount;

std::int64_t number(runtime::parsed_settings const& settings, std::string const& name)
{
    base::error reason;
    auto const out = runtime::parse_number(name, settings.text(name), 1, 1'000'000'000, reason);
    if (out)
        return *out;
    std::cerr << reason.message << "\n";
    std::exit(2);
}

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
    base::error reason;
    auto const settings = parser.parse(argc, argv, reason);
    if (!settings)
    {
        std::cerr << reason.message << "\n";
        return 2;
    }
    if (settings->help)
    {
        std::cout << parser.help();
        return 0;
    }
    soak::soak_options options;
    options.seed = static_cast<std::uint64_t>(number(*settings, "seed"));
    options.length = std::chrono::seconds(number(*settings, "seconds"));
    options.size.gateways = static_cast<std::size_t>(number(*settings, "gateways"));
    options.size.engines = static_cast<std::size_t>(number(*settings, "engines"));
    options.size.desks = static_cast<std::size_t>(number(*settings, "desks"));
    options.callers = static_cast<std::size_t>(number(*settings, "callers"));
    options.log_folder = settings->text("log-folder");
    auto const report = soak::run_soak(options);
    std::cout << "seed " << options.seed << ": " << report.steps << " steps, " << report.calls
              << " calls, " << report.answered << " answered, " << report.runs << " runs, "
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
