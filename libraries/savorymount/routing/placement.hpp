#pragma once

#include <savorymount/routing/prompt_prefix.hpp>

#include <cstddef>

namespace savorymount::routing
{

/// Number of leading blocks whose digest places a prompt without hints: up to the end of the second
/// level, without the last one, which is rarely shared. A single message is placed by its first
/// cut. Never more than the number of blocks; zero only for a prefix without blocks.
std::size_t placement_blocks(prompt_prefix const& prefix);

} // namespace savorymount::routing
