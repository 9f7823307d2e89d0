#include <savorymount/routing/placement.hpp>

#include <algorithm>

namespace savorymount::routing
{
namespace
{

/// Levels that place a prompt. Deeper ones would spread the prompts of one client over the fleet.
constexpr std::size_t placement_levels = 2;

} // namespace

std::size_t placement_blocks(prompt_prefix const& prefix)
{
    if (prefix.digests.empty())
        return 0;
    if (prefix.level_ends.size() < 2)
        return 1;
    std::size_t const level = std::min(placement_levels, prefix.level_ends.size() - 1);
    return prefix.level_ends[level - 1];
}

} // namespace savorymount::routing
