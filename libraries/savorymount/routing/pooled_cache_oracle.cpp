#include <savorymount/routing/pooled_cache_oracle.hpp>

namespace savorymount::routing
{

std::size_t pooled_cache_oracle::request(std::span<std::uint64_t const> digests)
{
    std::size_t hits = 0;
    while (hits < digests.size() && positions_.contains(digests[hits]))
        ++hits;
    // Iterates from the end, so that the shared leading blocks are evicted last.
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
    return hits;
}

} // namespace savorymount::routing
