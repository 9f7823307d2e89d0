#pragma once

#include <savorymount/runtime/log_events.hpp>
#include <savorymount/runtime/settings_parser.hpp>

#include <iostream>
#include <string>

namespace savorymount::runtime
{

/// Exit codes of the daemons.
inline constexpr int exit_success = 0;
inline constexpr int exit_start_failed = 1;
inline constexpr int exit_wrong_usage = 2;

/// Parses the settings, builds the daemon and runs it until it has drained. `make` takes the
/// settings, their origin and the reason of a failure.
template <typename Declare, typename Parse, typename Make>
int run_daemon(std::string const& program, char const* version, int argc, char const* const* argv,
               Declare declare, Parse parse, Make make)
{
    settings_parser parser(program);
    declare(parser);
    base::error reason;
    auto const values = parser.parse(argc, argv, reason);
    if (values && values->help)
    {
        std::cout << parser.help();
        return exit_success;
    }
    if (values && values->version)
    {
        std::cout << program << " " << version << "\n";
        return exit_success;
    }
    auto const settings = values ? parse(*values, reason) : std::nullopt;
    if (!settings)
    {
        std::cerr << program << ": " << reason.message << "\n";
        return exit_wrong_usage;
    }
    if (values->print_settings)
    {
        std::cout << parser.describe(*values);
        return exit_success;
    }
    configure_log(program);
    // The parser outlives the daemon.
    settings_origin const origin{*values, [&parser, argc, argv](base::error& why)
                                 {
                                     return parser.parse(argc, argv, why);
                                 }};
    auto const daemon = make(*settings, origin, reason);
    if (!daemon || !daemon->start(reason))
    {
        std::cerr << program << ": " << reason.message << "\n";
        return exit_start_failed;
    }
    daemon->run();
    return exit_success;
}

} // namespace savorymount::runtime
