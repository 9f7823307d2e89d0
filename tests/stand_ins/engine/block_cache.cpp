#include <tests/stand_ins/engine/block_cache.hpp>

namespace savorymount::stand_ins
{

std::size_t block_cache::use_prefix(std::vector<std::uint64_t> const& blocks)
{
    std::size_t n = 0;
    while (n < blocks.size() && contains(blocks[n]))
        ++n;
    for (std::size_t i = n; i > 0; --i)
        order_.splice(order_.begin(), order_, places_[blocks[i - 1]]);
    return n;
}

std::vector<std::uint64_t> block_cache::store(std::uint64_t block)
{
    std::vector<std::uint64_t> evicted;
    if (contains(block) || capacity_ == 0)
        return evicted;
    while (places_.size() >= capacity_)
    {
        evicted.push_back(order_.back());
        places_.erase(order_.back());
        order_.pop_back();
    }
    order_.push_front(block);
    places_[block] = order_.begin();
    return evicted;
}

std::vector<std::uint64_t> block_cache::clear()
{
    std::vector<std::uint64_t> out(order_.begin(), order_.end());
    order_.clear();
    places_.clear();
    return out;
}

} // namespace savorymount::stand_ins
