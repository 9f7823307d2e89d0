#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace savorymount::bench
{

/// Blocks cached by one fake engine; evicts the least recently used one.
class block_cache
{
public:
    explicit block_cache(std::size_t capacity) : capacity_(capacity) {}

    bool contains(std::uint64_t digest) const { return positions_.contains(digest); }

    /// Number of leading blocks that are cached.
    std::size_t leading(std::span<std::uint64_t const> digests) const;

    void store(std::span<std::uint64_t const> digests);
    void clear();

private:
    std::size_t capacity_;
    /// Most recently used first.
    std::list<std::uint64_t> order_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
};

} // namespace savorymount::bench
