#pragma once

#include <savorymount/routing/prompt_prefix.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace savorymount::routing
{

/// Maximum number of prefixes of a prompt that are used for its placement.
constexpr std::size_t max_placement_prefixes = 4;

/// The prefixes of a prompt that decide on which upstreams it is placed, as numbers of leading
/// blocks. Each ends at a message boundary. The last message is left out, since it is rarely
/// shared. A prompt with a single message is placed by its first block.
struct placement_prefixes
{
    std::array<std::uint32_t, max_placement_prefixes> block_counts{};
    std::size_t count = 0;

    std::uint32_t const* begin() const { return block_counts.data(); }
    std::uint32_t const* end() const { return block_counts.data() + count; }
};

/// Returns an empty list only for a prompt without blocks.
placement_prefixes placement_prefixes_of(prompt_prefix const& prefix);

} // namespace savorymount::routing
