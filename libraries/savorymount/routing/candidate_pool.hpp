#pragma once

#include <savorymount/routing/upstream_id.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace savorymount::routing
{

/// The upstreams that hold one model, adapter and version, prepared for rendezvous hashing. Built
/// when the membership changes, not per request. Instances that know the same names derive the same
/// order.
class candidate_pool
{
public:
    /// Takes handle and name of each member.
    explicit candidate_pool(std::vector<std::pair<upstream_id, std::string>> const& members);

    std::size_t size() const { return members_.size(); }

    /// The handle at a position below `size()`.
    upstream_id at(std::size_t position) const { return members_[position].id; }

    /// Whether the upstream is a member.
    bool contains(upstream_id id) const
    {
        return id < member_indices_.size() && member_indices_[id] != 0;
    }

    /// Preference of `digest` for a member; higher is better. The same at every instance.
    std::uint64_t score(std::uint64_t digest, upstream_id id) const;

    /// Writes up to `count` distinct members in the order of preference of `digest`, best first.
    /// Exact rendezvous hashing for small pools; for large ones the order is sampled in logarithmic
    /// time.
    void ranked_members(std::uint64_t digest, std::size_t count,
                        std::vector<upstream_id>& out) const;

    std::size_t memory_bytes() const;

private:
    struct member
    {
        upstream_id id;
        std::uint64_t hash;
    };
    struct ring_point
    {
        std::uint64_t position;
        std::uint32_t member;
    };

    std::vector<member> members_;
    std::vector<ring_point> ring_;
    /// Position of each handle in `members_` plus one; zero for others.
    std::vector<std::uint32_t> member_indices_;
};

} // namespace savorymount::routing
