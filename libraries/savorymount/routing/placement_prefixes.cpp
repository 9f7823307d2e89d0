#include <savorymount/routing/placement_prefixes.hpp>

#include <algorithm>

namespace savorymount::routing
{

placement_prefixes placement_prefixes_of(prompt_prefix const& prefix)
{
    placement_prefixes out;
    if (prefix.digests.empty())
        return out;
    if (prefix.message_ends.size() < 2)
    {
        out.block_counts[out.count++] = 1;
        return out;
    }
    out.count = std::min(max_placement_prefixes, prefix.message_ends.size() - 1);
    std::copy_n(prefix.message_ends.begin(), out.count, out.block_counts.begin());
    return out;
}

} // namespace savorymount::routing
