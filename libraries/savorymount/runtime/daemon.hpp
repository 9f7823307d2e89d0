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

/// Parses the settings, builds the daemon and runs it until it has drained.
template <typename Daemon, typename Declare, typename Parse>
int run_daemon(std::string const& program, char const* version, int argc, char const* const* argv,
               Declare declare, Parse parse)
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
    auto const daemon = Daemon::make(*settings, reason);
    // The parser outlives the daemon.
    if constexpr (requires { daemon->follow_settings({}, *values); })
    {
        if (daemon)
            daemon->follow_settings([&parser, argc, argv](base::error& why)
                                    { return parser.parse(argc, argv, why); },
                                    *values);
    }
    if (!daemon || !daemon->start(reason))
    {
        std::cerr << program << ": " << reason.message << "\n";
        return exit_start_failed;
    }
    daemon->run();
    return exit_success;
}

} // namespace savorymount::runtime
