#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace savorymount::membership
{

/// An entry as the subsets see it; `id` is without the incarnation, so that a restart in place
/// changes nothing.
struct entry_instance
{
    std::string id;
    std::string data_centre;
};

struct subset_limits
{
    /// Entries connected to each upstream, if there are as many.
    std::size_t entries_per_upstream = 20;
    /// Of these in each data centre, if there are as many.
    std::size_t entries_per_data_centre = 2;
};

/// Which entries connect to which upstreams in a large fleet. Every instance computes the same
/// answer from the same list, by rendezvous hashing: an upstream is connected to the
/// `entries_per_upstream` entries that rank highest for it, and to the `entries_per_data_centre`
/// highest of each data centre. An entry that comes or goes changes only the connections of the
/// upstreams that it is connected to.
class peer_subset
{
public:
    peer_subset(std::vector<entry_instance> entries, subset_limits limits);

    /// True if the entry connects to the upstream; false for an unknown entry.
    bool connects(std::string_view entry, std::string_view upstream) const;

    /// The upstreams out of `upstreams` that the entry connects to, in the same order.
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

    /// Rendezvous weight, made unique by the entry's own digest.
    using rank_key = std::pair<std::uint64_t, std::uint64_t>;

    static rank_key rank(ranked_entry const& entry, std::uint64_t upstream_digest);
    ranked_entry const* find(std::string_view entry) const;
    bool connects(ranked_entry const& entry, std::uint64_t upstream_digest) const;

    subset_limits limits_;
    std::vector<ranked_entry> entries_;
};

} // namespace savorymount::membership
