#include <savorymount/routing/prefix_holders.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace savorymount::routing
{

prefix_holders::prefix_holders(std::vector<prefix_holder> holders) : holders_(std::move(holders))
{
    // The best ones first; of equals, the one that used the part last.
    std::reverse(holders_.begin(), holders_.end());
    std::stable_sort(holders_.begin(), holders_.end(),
                     [](prefix_holder const& left, prefix_holder const& right)
                     { return left.cached_parts > right.cached_parts; });
    index_holders();
}

void prefix_holders::index_holders()
{
    for (auto const& it : holders_)
        cached_parts_.emplace(it.engine, it.cached_parts);
}

prefix_holders
prefix_holders::matching(std::function<bool(std::string const& engine)> const& matches) const
{
    prefix_holders out;
    std::copy_if(holders_.begin(), holders_.end(), std::back_inserter(out.holders_),
                 [&](prefix_holder const& it) { return matches(it.engine); });
    out.index_holders();
    return out;
}

std::size_t prefix_holders::cached_parts(std::string const& engine) const
{
    auto const it = cached_parts_.find(engine);
    return it == cached_parts_.end() ? 0 : it->second;
}

prefix_holder const* prefix_holders::longest(std::string const& excluded_engine) const
{
    auto const it = std::find_if(holders_.begin(), holders_.end(),
                                 [&](prefix_holder const& candidate)
                                 { return candidate.engine != excluded_engine; });
    return it == holders_.end() ? nullptr : &*it;
}

} // namespace savorymount::routing
