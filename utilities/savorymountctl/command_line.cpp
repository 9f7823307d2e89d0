#include "utilities/savorymountctl/command_line.hpp"

#include <algorithm>
#include <cstdlib>

namespace savorymount::control
{
namespace
{

bool takes_no_value(std::string const& flag)
{
    return flag == "--help" || flag == "--version" || flag == "--print-settings";
}

std::string login_name()
{
    char const* const name = std::getenv("USER");
    return name == nullptr ? std::string() : std::string(name);
}

} // namespace

runtime::settings_parser make_settings_parser()
{
    runtime::settings_parser out("savorymountctl");
    out.add("log-address", "", "IP:port of the platform's log")
        .add("list-address", "", "IP:port of the platform's instance list")
        .add("log-plugin", "http", "plug-in for the platform's log")
        .add("list-plugin", "http", "plug-in for the platform's instance list")
        .add("store-address", "", "IP:port of the metadata store of the users' platform")
        .add("platform-plugin", "users-platform", "adapter to the users' platform")
        .add("operator", login_name(), "name in the audit trail")
        .add("base", "", "version that diff showed; empty: the version in force");
    return out;
}

std::optional<command_line> parse_command_line(int argc, char const* const* argv,
                                               base::error& reason)
{
    command_line out;
    std::vector<char const*> flags{argc > 0 ? argv[0] : "savorymountctl"};
    for (int i = 1; i < argc; ++i)
    {
        std::string const argument = argv[i];
        if (!argument.starts_with("--"))
        {
            out.operands.push_back(argument);
            continue;
        }
        flags.push_back(argv[i]);
        bool const value_follows =
            argument.find('=') == std::string::npos && !takes_no_value(argument) && i + 1 < argc;
        if (value_follows)
            flags.push_back(argv[++i]);
    }
    auto settings =
        make_settings_parser().parse(static_cast<int>(flags.size()), flags.data(), reason);
    if (!settings)
        return std::nullopt;
    out.settings = std::move(*settings);
    return out;
}

std::string help_text()
{
    // The parser's own usage line does not know the commands.
    auto const settings = make_settings_parser().help();
    return "Usage: savorymountctl COMMAND [SETTINGS]\n"
           "\n"
           "Commands:\n"
           "  validate DIR          check the documents in a folder\n"
           "  diff DIR              compare a folder with the version in force\n"
           "  apply DIR             publish a folder\n"
           "  key grant WORKSPACE   add a key to a contract and print it once\n"
           "  key withdraw KEY_ID   remove a key from its contract\n"
           "  status                ask every instance for its state\n"
           "  status --store-address IP:PORT\n"
           "                        show what the store of the users' platform holds\n"
           "  explain REQUEST-ID FILE...\n"
           "                        show what the logs of several processes tell of a request\n"
           "  audit                 list the changes in the log with their verdicts\n"
           "\n"
           "Exit codes: 0 success; 1 refused, lost the race or unreachable; 2 wrong usage;\n"
           "3 invalid documents.\n"
           "\n" +
           settings.substr(settings.find('\n') + 1);
}

} // namespace savorymount::control
