#include "utilities/bench/block_cache.hpp"

namespace savorymount::bench
{

std::size_t block_cache::leading(std::span<std::uint64_t const> digests) const
{
    std::size_t out = 0;
    while (out < digests.size() && contains(digests[out]))
        ++out;
    return out;
}

void block_cache::store(std::span<std::uint64_t const> digests)
{
    // From the end to the start, so that the shared leading blocks are evicted last.
    for (auto digest = digests.rbegin(); digest != digests.rend(); ++digest)
    {
        if (auto const it = positions_.find(*digest); it != positions_.end())
            order_.splice(order_.begin(), order_, it->second);
        else
            positions_[*digest] = order_.insert(order_.begin(), *digest);
    }
    while (order_.size() > capacity_)
    {
        positions_.erase(order_.back());
        order_.pop_back();
    }
}

void block_cache::clear()
{
    order_.clear();
    positions_.clear();
}

} // namespace savorymount::bench
