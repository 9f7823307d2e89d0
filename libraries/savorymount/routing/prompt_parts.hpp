#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace savorymount::routing
{

/// One part of a prompt. Prompts with a common prefix have the same leading parts.
struct prompt_part
{
    std::string id;
    std::uint32_t tokens = 0;

    bool operator==(prompt_part const&) const = default;
};

/// Description of the prompt that a request carries in its headers.
struct prompt_description
{
    std::string model;
    std::vector<prompt_part> parts;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;

    /// Tokens that count against the rate limit: the prompt and the longest possible output.
    double charged_tokens() const { return static_cast<double>(prompt_tokens) + max_output_tokens; }

    bool operator==(prompt_description const&) const = default;
};

} // namespace savorymount::routing
