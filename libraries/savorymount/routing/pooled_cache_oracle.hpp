#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace savorymount::routing
{

/// Bound for the prefix hit rate: one cache with the capacity of all engines together, evicting the
/// least recently used block. It stores no block twice and is never overloaded, so no placement of
/// requests on separate engines with that eviction rule is expected to exceed it.
class pooled_cache_oracle
{
public:
    explicit pooled_cache_oracle(std::size_t capacity_blocks) : capacity_(capacity_blocks) {}

    /// Number of leading blocks that are cached; stores all blocks of the prompt afterwards.
    std::size_t request(std::span<std::uint64_t const> digests);

    std::size_t size() const { return order_.size(); }

private:
    std::size_t capacity_;
    /// Most recently used first.
    std::list<std::uint64_t> order_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
};

} // namespace savorymount::routing
