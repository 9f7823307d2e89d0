#pragma once

#include <savorymount/routing/prompt_prefix.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace savorymount::routing
{

/// Most levels that take part in the placement of a prompt without hints.
constexpr std::size_t placement_levels = 4;

/// The number of leading blocks up to the end of each level that places a prompt: the first levels
/// without the last message, which is rarely shared. A single message is placed by its first cut.
struct placement
{
    std::array<std::uint32_t, placement_levels> ends{};
    std::size_t levels = 0;

    std::uint32_t const* begin() const { return ends.data(); }
    std::uint32_t const* end() const { return ends.data() + levels; }
};

/// Empty only for a prefix without blocks.
placement placement_of(prompt_prefix const& prefix);

} // namespace savorymount::routing
