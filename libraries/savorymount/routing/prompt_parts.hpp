#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace savorymount::routing
{

/// One part of a prompt. Requests whose prompts begin alike share their first parts.
struct prompt_part
{
    std::string id;
    std::uint32_t tokens = 0;

    bool operator==(prompt_part const&) const = default;
};

/// What a request says of its prompt.
struct prompt_description
{
    std::string model;
    std::vector<prompt_part> parts;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;

    /// Tokens that the request is charged.
    double charged_tokens() const { return static_cast<double>(prompt_tokens) + max_output_tokens; }

    bool operator==(prompt_description const&) const = default;
};

} // namespace savorymount::routing
