#pragma once

#include <savorymount/base/error.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::runtime
{

/// Settings by the names of their environment variables.
using settings_file = std::map<std::string, std::string>;

/// Reads lines `NAME=value`; empty lines and lines that begin with `#` are skipped. Fails with
/// `invalid_input` on any other line.
std::optional<settings_file> parse_settings_file(std::string const& text, base::error& reason);

/// Names the file that settings are read from; read from the environment only.
inline constexpr char const* settings_file_variable = "SAVORYMOUNT_SETTINGS";

/// One value in force and where it came from: `flag`, `environment`, `file` or `default`.
struct setting_value
{
    std::string text;
    std::string source;

    bool operator==(setting_value const&) const = default;
};

/// The result of parsing a command line together with `SAVORYMOUNT_*` environment variables and
/// the settings file, if there is one.
struct parsed_settings
{
    std::map<std::string, setting_value> values;
    bool help = false;
    bool version = false;
    bool print_settings = false;

    /// The value of a declared setting.
    std::string const& text(std::string const& name) const { return values.at(name).text; }
};

/// Reads the settings from flags, environment and the settings file again.
using settings_source = std::function<std::optional<parsed_settings>(base::error&)>;

/// What a process started with, and where it reads changes of it.
struct settings_origin
{
    parsed_settings active;
    settings_source source;
};

/// Declares text settings and reads them from flags, then environment, then the settings file,
/// then defaults.
class settings_parser
{
public:
    explicit settings_parser(std::string program);

    /// Declares `--name`, also read from `SAVORYMOUNT_NAME`. Without a default it is required.
    /// A secret is masked by `describe`.
    settings_parser& add(std::string const& name, std::optional<std::string> fallback,
                         std::string const& meaning, bool secret = false);

    /// Fails with `invalid_input` on an unknown flag or a missing required setting.
    std::optional<parsed_settings> parse(int argc, char const* const* argv,
                                         base::error& reason) const;

    /// The text for `--help`.
    std::string help() const;

    /// One line a setting: `name=value (source)`.
    std::string describe(parsed_settings const& settings) const;

private:
    struct declaration
    {
        std::string name;
        std::optional<std::string> fallback;
        /// What `--help` shows.
        std::string meaning;
        bool secret;
    };

    std::string program_;
    std::vector<declaration> declarations_;
};

/// A whole number in [minimum, maximum]; `reason` names the setting and the bounds.
std::optional<std::int64_t> parse_number(std::string const& name, std::string const& text,
                                         std::int64_t minimum, std::int64_t maximum,
                                         base::error& reason);

/// A decimal number in [minimum, maximum]; `reason` names the setting and the bounds.
std::optional<double> parse_decimal(std::string const& name, std::string const& text,
                                    double minimum, double maximum, base::error& reason);

/// `true` or `false`.
std::optional<bool> parse_truth(std::string const& name, std::string const& text,
                                base::error& reason);

/// `IP:port` of a peer or service.
struct network_address
{
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(network_address const&) const = default;
};

/// Reads `IP:port`; the host must be an IPv4 number, since instances are reached by IP number only.
std::optional<network_address> parse_address(std::string const& name, std::string const& text,
                                             base::error& reason);

std::string to_string(network_address const& address);

} // namespace savorymount::runtime
