#pragma once

#include <savorymount/routing/prompt_prefix.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace savorymount::routing
{

/// Most levels that take part in the placement of a prompt without hints.
constexpr std::size_t max_placement_prefixes = 4;

/// The number of leading blocks up to the end of each level that places a prompt: the first levels
/// without the last message, which is rarely shared. A single message is placed by its first cut.
struct placement_prefixes
{
    std::array<std::uint32_t, max_placement_prefixes> block_counts{};
    std::size_t count = 0;

    std::uint32_t const* begin() const { return block_counts.data(); }
    std::uint32_t const* end() const { return block_counts.data() + count; }
};

/// Empty only for a prefix without blocks.
placement_prefixes placement_prefixes_of(prompt_prefix const& prefix);

} // namespace savorymount::routing
