#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace savorymount::stand_ins
{

/// Names of cached prompt blocks. A block's name covers all blocks before it. The least recently
/// used block is evicted first.
class block_cache
{
public:
    explicit block_cache(std::size_t capacity) : capacity_(capacity) {}

    /// How many of `blocks`, from the first on, are cached without a hole. These become the most
    /// recently used, the later ones less so, because a block is useless without those before it.
    std::size_t use_prefix(std::vector<std::uint64_t> const& blocks);

    /// Adds a block and returns those that were evicted for it.
    std::vector<std::uint64_t> store(std::uint64_t block);

    /// Evicts and returns all blocks.
    std::vector<std::uint64_t> clear();

    bool contains(std::uint64_t block) const { return places_.count(block) > 0; }
    std::size_t size() const { return places_.size(); }

private:
    std::size_t capacity_;
    /// The most recently used block is in front.
    std::list<std::uint64_t> order_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places_;
};

} // namespace savorymount::stand_ins
