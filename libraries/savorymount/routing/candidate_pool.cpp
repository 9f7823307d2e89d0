#include <savorymount/base/digest.hpp>
#include <savorymount/routing/candidate_pool.hpp>

#include <algorithm>

namespace savorymount::routing
{
namespace
{

/// Pools up to this size use exact rendezvous hashing.
constexpr std::size_t max_exact_pool_size = 64;
/// Points per member on the hash ring; more points distribute digests more evenly.
constexpr std::size_t points_per_member = 8;
/// Ring lookups per requested member, after which fewer members are returned.
constexpr std::size_t probes_per_member = 4;

/// Finaliser of SplitMix64: every input bit affects every output bit.
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 30;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27;
    value *= 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

constexpr std::uint64_t golden_ratio_increment = 0x9e3779b97f4a7c15ULL;

} // namespace

candidate_pool::candidate_pool(std::vector<std::pair<upstream_id, std::string>> const& members)
{
    members_.reserve(members.size());
    for (auto const& [id, name] : members)
        members_.push_back({id, base::chain_digest(0, name)});
    // Handles differ between router instances, so the order must depend only on the names.
    std::sort(members_.begin(), members_.end(),
              [](member const& left, member const& right) { return left.hash < right.hash; });
    for (std::uint32_t i = 0; i < members_.size(); ++i)
    {
        member_indices_.resize(std::max<std::size_t>(member_indices_.size(), members_[i].id + 1));
        member_indices_[members_[i].id] = i + 1;
    }
    if (members_.size() <= max_exact_pool_size)
        return;
    ring_.reserve(members_.size() * points_per_member);
    for (std::uint32_t i = 0; i < members_.size(); ++i)
    {
        for (std::uint64_t point = 1; point <= points_per_member; ++point)
            ring_.push_back({mix(members_[i].hash + point * golden_ratio_increment), i});
    }
    std::sort(ring_.begin(), ring_.end(),
              [](ring_point const& left, ring_point const& right)
              { return left.position < right.position; });
}

std::uint64_t candidate_pool::score(std::uint64_t digest, upstream_id id) const
{
    return contains(id) ? mix(digest ^ members_[member_indices_[id] - 1].hash) : 0;
}

void candidate_pool::ranked_members(std::uint64_t digest, std::size_t count,
                                    std::vector<upstream_id>& out) const
{
    out.clear();
    count = std::min(count, members_.size());
    if (ring_.empty())
    {
        std::pair<std::uint64_t, upstream_id> scores[max_exact_pool_size];
        for (std::size_t i = 0; i < members_.size(); ++i)
            scores[i] = {mix(digest ^ members_[i].hash), members_[i].id};
        std::partial_sort(scores, scores + count, scores + members_.size(),
                          [](auto const& left, auto const& right)
                          { return left.first > right.first; });
        for (std::size_t i = 0; i < count; ++i)
            out.push_back(scores[i].second);
        return;
    }
    std::size_t const max_probes = count * probes_per_member + probes_per_member;
    for (std::uint64_t probe = 1; probe <= max_probes && out.size() < count; ++probe)
    {
        std::uint64_t const position = mix(digest + probe * golden_ratio_increment);
        auto it = std::lower_bound(ring_.begin(), ring_.end(), position,
                                   [](ring_point const& point, std::uint64_t value)
                                   { return point.position < value; });
        if (it == ring_.end())
            it = ring_.begin();
        upstream_id const id = members_[it->member].id;
        if (std::find(out.begin(), out.end(), id) == out.end())
            out.push_back(id);
    }
}

std::size_t candidate_pool::memory_bytes() const
{
    return members_.capacity() * sizeof(member) + ring_.capacity() * sizeof(ring_point) +
           member_indices_.capacity() * sizeof(std::uint32_t);
}

} // namespace savorymount::routing
