#include <savorymount/base/digest.hpp>
#include <savorymount/membership/peer_subset.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <utility>

namespace savorymount::membership
{
namespace
{

std::uint64_t digest_of(std::string_view id)
{
    return base::chain_digest(0, id);
}

} // namespace

peer_subset::peer_subset(std::vector<entry_instance> entries, subset_limits limits)
    : limits_(limits)
{
    std::map<std::string, std::uint32_t> data_centres;
    for (auto& it : entries)
    {
        auto const next_index = static_cast<std::uint32_t>(data_centres.size());
        auto const data_centre = data_centres.try_emplace(it.data_centre, next_index).first->second;
        auto const digest = digest_of(it.id);
        entries_.push_back({std::move(it.id), digest, data_centre});
    }
    std::sort(entries_.begin(), entries_.end(),
              [](ranked_entry const& left, ranked_entry const& right)
              { return left.id < right.id; });
}

peer_subset::rank_key peer_subset::rank(ranked_entry const& entry, std::uint64_t upstream_digest)
{
    std::string_view const bytes(reinterpret_cast<char const*>(&entry.digest), sizeof entry.digest);
    return {base::chain_digest(upstream_digest, bytes), entry.digest};
}

bool peer_subset::connects(std::string_view entry, std::string_view upstream) const
{
    auto const* const it = find(entry);
    return it != nullptr && connects(*it, digest_of(upstream));
}

std::vector<std::string> peer_subset::upstreams_of(std::string_view entry,
                                                   std::vector<std::string> const& upstreams) const
{
    std::vector<std::string> out;
    auto const* const found = find(entry);
    if (found == nullptr)
        return out;
    std::copy_if(upstreams.begin(), upstreams.end(), std::back_inserter(out),
                 [&](std::string const& it) { return connects(*found, digest_of(it)); });
    return out;
}

std::vector<std::string> peer_subset::entries_of(std::string_view upstream) const
{
    auto const digest = digest_of(upstream);
    std::vector<std::pair<rank_key, ranked_entry const*>> ranked;
    ranked.reserve(entries_.size());
    for (auto const& it : entries_)
        ranked.emplace_back(rank(it, digest), &it);
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::map<std::uint32_t, std::size_t> per_data_centre;
    std::vector<std::string> out;
    for (std::size_t higher_ranked = 0; higher_ranked < ranked.size(); ++higher_ranked)
    {
        auto const& it = *ranked[higher_ranked].second;
        auto const higher_ranked_in_data_centre = per_data_centre[it.data_centre]++;
        if (higher_ranked < limits_.entries_per_upstream ||
            higher_ranked_in_data_centre < limits_.entries_per_data_centre)
            out.push_back(it.id);
    }
    std::sort(out.begin(), out.end());
    return out;
}

peer_subset::ranked_entry const* peer_subset::find(std::string_view entry) const
{
    auto const it = std::lower_bound(entries_.begin(), entries_.end(), entry,
                                     [](ranked_entry const& left, std::string_view right)
                                     { return left.id < right; });
    return it != entries_.end() && it->id == entry ? &*it : nullptr;
}

bool peer_subset::connects(ranked_entry const& entry, std::uint64_t upstream_digest) const
{
    auto const entry_rank = rank(entry, upstream_digest);
    std::size_t higher_ranked = 0;
    std::size_t higher_ranked_in_data_centre = 0;
    for (auto const& it : entries_)
    {
        if (rank(it, upstream_digest) <= entry_rank)
            continue;
        ++higher_ranked;
        higher_ranked_in_data_centre += it.data_centre == entry.data_centre ? 1 : 0;
        // Leaves the loop after a few dozen comparisons for most entries; the loop dominates the
        // cost.
        if (higher_ranked >= limits_.entries_per_upstream &&
            higher_ranked_in_data_centre >= limits_.entries_per_data_centre)
            return false;
    }
    return true;
}

} // namespace savorymount::membership
