#include <savorymount/runtime/settings_parser.hpp>

#include <boost/program_options.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>

namespace savorymount::runtime
{
namespace
{

namespace po = boost::program_options;

std::string environment_name(std::string const& name)
{
    std::string out = "SAVORYMOUNT_";
    for (char const it : name)
        out += it == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(it)));
    return out;
}

/// The content of the settings file; empty when none is named.
std::optional<settings_file> read_settings_file(base::error& reason)
{
    char const* const path = std::getenv(settings_file_variable);
    if (path == nullptr)
        return settings_file{};
    std::ifstream in(path);
    if (!in)
    {
        reason = {base::error_kind::invalid_input, std::string("the settings file ") + path +
                                                       " can't be read; correct " +
                                                       settings_file_variable};
        return std::nullopt;
    }
    std::ostringstream text;
    text << in.rdbuf();
    return parse_settings_file(text.str(), reason);
}

/// The flags of a program; `declarations` have `name` and `meaning`.
po::options_description describe_options(auto const& declarations)
{
    po::options_description out("Settings");
    out.add_options()("help", "show this text and exit")("version", "show the version and exit")(
        "print-settings", "show the values in force and exit");
    for (auto const& it : declarations)
        out.add_options()(it.name.c_str(), po::value<std::string>(), it.meaning.c_str());
    return out;
}

} // namespace

std::optional<settings_file> parse_settings_file(std::string const& text, base::error& reason)
{
    settings_file out;
    std::istringstream in(text);
    std::size_t number = 0;
    for (std::string line; std::getline(in, line);)
    {
        ++number;
        if (line.empty() || line[0] == '#')
            continue;
        auto const equals = line.find('=');
        if (equals == std::string::npos || !line.starts_with("SAVORYMOUNT_"))
        {
            reason = {base::error_kind::invalid_input,
                      "line " + std::to_string(number) +
                          " of the settings file is no SAVORYMOUNT_NAME=value; correct it"};
            return std::nullopt;
        }
        out[line.substr(0, equals)] = line.substr(equals + 1);
    }
    return out;
}

settings_parser::settings_parser(std::string program) : program_(std::move(program)) {}

settings_parser& settings_parser::add(std::string const& name, std::optional<std::string> fallback,
                                      std::string const& meaning, bool secret)
{
    std::string text = meaning + " [" + environment_name(name) + "]";
    if (fallback && !fallback->empty())
        text += " (default " + *fallback + ")";
    declarations_.push_back({name, std::move(fallback), std::move(text), secret});
    return *this;
}

std::optional<parsed_settings> settings_parser::parse(int argc, char const* const* argv,
                                                      base::error& reason) const
{
    auto const options = describe_options(declarations_);
    po::variables_map flags;
    try
    {
        po::store(po::command_line_parser(argc, argv).options(options).run(), flags);
    }
    catch (po::error const& ec)
    {
        reason = {base::error_kind::invalid_input,
                  std::string(ec.what()) + "; see " + program_ + " --help"};
        return std::nullopt;
    }
    auto const file = read_settings_file(reason);
    if (!file)
        return std::nullopt;
    parsed_settings out;
    out.help = flags.count("help") > 0;
    out.version = flags.count("version") > 0;
    out.print_settings = flags.count("print-settings") > 0;
    for (auto const& it : declarations_)
    {
        char const* const environment = std::getenv(environment_name(it.name).c_str());
        if (flags.count(it.name) > 0)
            out.values[it.name] = {flags[it.name].as<std::string>(), "flag"};
        else if (environment != nullptr)
            out.values[it.name] = {environment, "environment"};
        else if (auto const line = file->find(environment_name(it.name)); line != file->end())
            out.values[it.name] = {line->second, "file"};
        else if (it.fallback)
            out.values[it.name] = {*it.fallback, "default"};
        else if (!out.help && !out.version)
        {
            reason = {base::error_kind::invalid_input, "setting " + it.name +
                                                           " is missing; pass --" + it.name +
                                                           " or set " + environment_name(it.name)};
            return std::nullopt;
        }
    }
    return out;
}

std::string settings_parser::help() const
{
    std::ostringstream out;
    out << "Usage: " << program_ << " [SETTINGS]\n" << describe_options(declarations_);
    return out.str();
}

std::string settings_parser::describe(parsed_settings const& settings) const
{
    std::string out;
    for (auto const& it : declarations_)
    {
        auto const& value = settings.values.at(it.name);
        out += it.name + "=" + (it.secret ? "***" : value.text) + " (" + value.source + ")\n";
    }
    return out;
}

std::optional<std::int64_t> parse_number(std::string const& name, std::string const& text,
                                         std::int64_t minimum, std::int64_t maximum,
                                         base::error& reason)
{
    std::int64_t value = 0;
    char const* const end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, value);
    bool const whole = result.ec == std::errc() && result.ptr == end;
    if (whole && value >= minimum && value <= maximum)
        return value;
    reason = {base::error_kind::invalid_input,
              "setting " + name + " is \"" + text + "\"; give a whole number from " +
                  std::to_string(minimum) + " to " + std::to_string(maximum)};
    return std::nullopt;
}

std::optional<double> parse_decimal(std::string const& name, std::string const& text,
                                    double minimum, double maximum, base::error& reason)
{
    double value = 0;
    char const* const end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, value);
    bool const whole = result.ec == std::errc() && result.ptr == end;
    if (whole && value >= minimum && value <= maximum)
        return value;
    std::ostringstream message;
    message << "setting " << name << " is \"" << text << "\"; give a number from " << minimum
            << " to " << maximum;
    reason = {base::error_kind::invalid_input, message.str()};
    return std::nullopt;
}

std::optional<bool> parse_truth(std::string const& name, std::string const& text,
                                base::error& reason)
{
    if (text == "true")
        return true;
    if (text == "false")
        return false;
    reason = {base::error_kind::invalid_input,
              "setting " + name + " is \"" + text + "\"; give true or false"};
    return std::nullopt;
}

std::optional<network_address> parse_address(std::string const& name, std::string const& text,
                                             base::error& reason)
{
    auto const colon = text.rfind(':');
    in_addr parsed{};
    if (colon != std::string::npos)
    {
        std::string const host = text.substr(0, colon);
        base::error ignored;
        auto const port = parse_number(name, text.substr(colon + 1), 0, 65535, ignored);
        // inet_pton sees the text only up to its first NUL.
        bool const is_plain = host.find('\0') == std::string::npos;
        if (port && is_plain && inet_pton(AF_INET, host.c_str(), &parsed) == 1)
            return network_address{host, static_cast<std::uint16_t>(*port)};
    }
    reason = {base::error_kind::invalid_input,
              "setting " + name + " is \"" + text +
                  "\"; give an IPv4 number and a port, such as 127.0.0.1:8080"};
    return std::nullopt;
}

std::string to_string(network_address const& address)
{
    return address.host + ":" + std::to_string(address.port);
}

} // namespace savorymount::runtime
