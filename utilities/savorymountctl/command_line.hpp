#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/runtime/settings_parser.hpp>

#include <optional>
#include <string>
#include <vector>

namespace savorymount::control
{

/// The operands of a call, such as `key grant counter`, and its settings.
struct command_line
{
    std::vector<std::string> operands;
    runtime::parsed_settings settings;
};

/// The settings that the tool knows.
runtime::settings_parser make_settings_parser();

/// Splits operands from settings, which may stand anywhere. Fails with `invalid_input`.
std::optional<command_line> parse_command_line(int argc, char const* const* argv,
                                               base::error& reason);

/// The text for `--help`.
std::string help_text();

} // namespace savorymount::control
