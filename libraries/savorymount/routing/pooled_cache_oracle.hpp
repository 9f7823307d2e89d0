#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace savorymount::routing
{

/// Upper bound on the prefix hit rate: one LRU cache with the combined capacity of all engines. It
/// stores no block twice and is never overloaded, so no placement of requests on separate LRU
/// engines is expected to exceed its hit rate.
class pooled_cache_oracle
{
public:
    explicit pooled_cache_oracle(std::size_t capacity_blocks) : capacity_(capacity_blocks) {}

    /// Returns the number of leading blocks that are cached, then stores all blocks of the prompt.
    std::size_t request(std::span<std::uint64_t const> digests);

    std::size_t size() const { return order_.size(); }

private:
    std::size_t capacity_;
    /// Most recently used first.
    std::list<std::uint64_t> order_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
};

} // namespace savorymount::routing
