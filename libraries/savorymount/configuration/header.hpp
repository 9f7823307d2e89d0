#pragma once

#include <string>

namespace savorymount::configuration
{

/// One HTTP header field.
struct header
{
    std::string name;
    std::string value;

    bool operator==(header const&) const = default;
};

} // namespace savorymount::configuration
