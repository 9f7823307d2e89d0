#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorymount::runtime
{

/// One header field of an HTTP message.
struct http_header
{
    std::string name;
    std::string value;

    auto operator<=>(http_header const&) const = default;
};

/// The header fields of a message in the order received.
using http_headers = std::vector<http_header>;

/// Compares two header names without regard to ASCII case.
bool equal_header_names(std::string_view left, std::string_view right);

/// The value of the first header called `name`, without regard to case.
std::optional<std::string> find_header(http_headers const& headers, std::string_view name);

} // namespace savorymount::runtime
