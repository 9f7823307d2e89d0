#include "utilities/savorymountctl/operator_commands.hpp"

#include <exception>
#include <iostream>

namespace
{

using savorymount::control::exit_code;

exit_code run(int argc, char const* const* argv)
{
    using namespace savorymount;
    base::error reason;
    auto const line = control::parse_command_line(argc, argv, reason);
    if (!line)
    {
        std::cerr << "savorymountctl: " << reason.message << "\n";
        return exit_code::wrong_usage;
    }
    if (line->settings.help)
    {
        std::cout << control::help_text();
        return exit_code::success;
    }
    if (line->settings.version)
    {
        std::cout << "savorymountctl " << SAVORYMOUNT_VERSION << "\n";
        return exit_code::success;
    }
    if (line->settings.print_settings)
    {
        std::cout << control::make_settings_parser().describe(line->settings);
        return exit_code::success;
    }
    return control::operator_commands(*line, std::cout, std::cerr).run();
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return static_cast<int>(run(argc, argv));
    }
    catch (std::exception const& ec)
    {
        std::cerr << "savorymountctl: " << ec.what() << "\n";
        return static_cast<int>(exit_code::failure);
    }
}
