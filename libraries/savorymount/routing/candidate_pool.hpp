#pragma once

#include <savorymount/routing/upstream_id.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace savorymount::routing
{

/// The upstreams that serve one model, adapter and version, prepared for rendezvous hashing. Built
/// when the membership changes, not per request. Router instances that know the same upstream names
/// compute the same order.
class candidate_pool
{
public:
    /// `members` has the handle and name of each upstream.
    explicit candidate_pool(std::vector<std::pair<upstream_id, std::string>> const& members);

    std::size_t size() const { return members_.size(); }

    /// The handle at a position below `size()`.
    upstream_id at(std::size_t position) const { return members_[position].id; }

    bool contains(upstream_id id) const
    {
        return id < member_indices_.size() && member_indices_[id] != 0;
    }

    /// Rendezvous hash score of a member for `digest`; the highest score ranks first. The same on
    /// every router instance.
    std::uint64_t score(std::uint64_t digest, upstream_id id) const;

    /// Writes up to `count` distinct members to `out`, ranked for `digest`. Small pools use exact
    /// rendezvous hashing. Large pools look up pseudo-random points on a hash ring, which takes
    /// logarithmic time.
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
    /// One plus the index in `members_`, by handle; zero for handles that are not members.
    std::vector<std::uint32_t> member_indices_;
};

} // namespace savorymount::routing
