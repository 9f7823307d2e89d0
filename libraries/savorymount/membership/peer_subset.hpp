#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace savorymount::membership
{

/// A router instance with the role `entry`. `id` has no incarnation, so that a restart does not
/// change the subsets.
struct entry_instance
{
    std::string id;
    std::string data_centre;
};

struct subset_limits
{
    /// Minimum number of entries that connect to each upstream, or all if there are fewer.
    std::size_t entries_per_upstream = 20;
    /// Minimum number of entries in each data centre that connect to each upstream, or all if there
    /// are fewer.
    std::size_t entries_per_data_centre = 2;
};

/// Selects which entries connect to which upstreams in a large deployment. Every instance computes
/// the same result from the same list, by rendezvous hashing: an upstream is connected to the
/// `entries_per_upstream` entries that rank highest for it, and to the `entries_per_data_centre`
/// highest of each data centre. Adding or removing an entry changes only the connections of
/// the upstreams that it connects to.
class peer_subset
{
public:
    peer_subset(std::vector<entry_instance> entries, subset_limits limits);

    /// True if the entry connects to the upstream; false for an unknown entry.
    bool connects(std::string_view entry, std::string_view upstream) const;

    /// Those of `upstreams` that the entry connects to, in the same order.
    std::vector<std::string> upstreams_of(std::string_view entry,
                                          std::vector<std::string> const& upstreams) const;

    /// The entries that connect to the upstream, ordered by id.
    std::vector<std::string> entries_of(std::string_view upstream) const;

private:
    struct ranked_entry
    {
        std::string id;
        std::uint64_t digest;
        std::uint32_t data_centre;
    };

    /// Rendezvous hash of entry and upstream; the digest of the entry breaks ties.
    using rank_key = std::pair<std::uint64_t, std::uint64_t>;

    static rank_key rank(ranked_entry const& entry, std::uint64_t upstream_digest);
    ranked_entry const* find(std::string_view entry) const;
    bool connects(ranked_entry const& entry, std::uint64_t upstream_digest) const;

    subset_limits limits_;
    std::vector<ranked_entry> entries_;
};

} // namespace savorymount::membership
