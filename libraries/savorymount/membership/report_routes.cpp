#include <savorymount/base/digest.hpp>
#include <savorymount/membership/report_routes.hpp>

#include <algorithm>
#include <compare>
#include <cstdint>
#include <limits>
#include <map>
#include <utility>

namespace savorymount::membership
{
namespace
{

// Reports go to this many instances of another data centre, since the first may be gone.
constexpr std::size_t relays_per_data_centre = 2;

/// Order of the instances of a data centre as relays; the smallest goes first.
struct relay_rank
{
    /// A silent instance may still be the relay when its whole data centre is cut off; it comes
    /// after those that are heard from.
    bool silent = false;
    std::uint32_t inverted_weight = 0;
    std::uint64_t digest = 0;

    auto operator<=>(relay_rank const&) const = default;
};

relay_rank make_rank(std::string const& data_centre, std::string const& instance,
                     std::uint32_t weight, bool silent)
{
    return {silent, std::numeric_limits<std::uint32_t>::max() - weight,
            base::chain_digest(base::chain_digest(0, data_centre), instance)};
}

} // namespace

report_routes find_report_routes(base::time_point now, peer_table const& table)
{
    report_routes out;
    out.uses_relays = table.uses_relays();
    auto const& local_data_centre = table.local_data_centre();
    auto const local_rank =
        make_rank(local_data_centre, table.local_instance(), table.local_relay_weight(), false);
    out.local_is_relay = out.uses_relays;
    std::map<std::string, std::vector<std::pair<relay_rank, std::string>>> remote;
    for (auto const& [instance, it] : table.peers())
    {
        bool const silent = !it.has_reported || table.is_silent(now, it);
        bool const reports_directly = !out.uses_relays || !table.is_remote(it);
        auto const& data_centre = reports_directly ? local_data_centre : it.data_centre;
        auto const rank = make_rank(data_centre, instance, it.relay_weight, silent);
        if (reports_directly)
        {
            out.neighbours.push_back(it.address);
            out.local_is_relay = out.local_is_relay && local_rank < rank;
        }
        else
            remote[data_centre].emplace_back(rank, it.address);
    }
    for (auto& [data_centre, ranked] : remote)
    {
        std::sort(ranked.begin(), ranked.end());
        // As long as nothing is heard of a data centre, its relay is not known either.
        bool const is_heard = !ranked.front().first.silent;
        if (is_heard)
            ranked.resize(std::min(ranked.size(), relays_per_data_centre));
        for (auto& it : ranked)
            out.remote_relays.push_back(std::move(it.second));
    }
    return out;
}

} // namespace savorymount::membership
