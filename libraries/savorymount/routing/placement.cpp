#include <savorymount/routing/placement.hpp>

#include <algorithm>

namespace savorymount::routing
{

placement placement_of(prompt_prefix const& prefix)
{
    placement out;
    if (prefix.digests.empty())
        return out;
    if (prefix.level_ends.size() < 2)
    {
        out.ends[out.levels++] = 1;
        return out;
    }
    out.levels = std::min(placement_levels, prefix.level_ends.size() - 1);
    std::copy_n(prefix.level_ends.begin(), out.levels, out.ends.begin());
    return out;
}

} // namespace savorymount::routing
