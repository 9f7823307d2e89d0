#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace savorymount::tests
{

/// The value behind `key=` in a line of a program's output, up to the next space.
inline std::optional<std::string> value_in_line(std::string const& line, std::string const& key)
{
    auto const start = (" " + line).find(" " + key + "=");
    if (start == std::string::npos)
        return std::nullopt;
    auto const value = start + key.size() + 1;
    return line.substr(value, line.find(' ', value) - value);
}

/// The port of `IP:port`, or of a port alone.
inline std::uint16_t port_of(std::string const& address)
{
    return static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
}

} // namespace savorymount::tests
