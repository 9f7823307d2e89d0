#include <savorymount/base/digest.hpp>
#include <savorymount/membership/report_routes.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace savorymount::membership
{
namespace
{

// Reports go to this many instances of another data centre, since the first may be gone.
constexpr std::size_t relays_per_data_centre = 2;

/// A rank and the address of the instance that has it; a lower rank goes first.
using ranked_address = std::pair<std::uint64_t, std::string>;

std::uint64_t relay_rank(std::string const& data_centre, std::string const& instance)
{
    return base::chain_digest(base::chain_digest(0, data_centre), instance);
}

} // namespace

report_routes find_report_routes(base::time_point now, peer_table const& table)
{
    report_routes out;
    out.uses_relays = table.uses_relays();
    auto const& local_data_centre = table.local_data_centre();
    auto const local_rank = relay_rank(local_data_centre, table.local_instance());
    out.local_is_relay = out.uses_relays;
    std::map<std::string, std::vector<ranked_address>> remote;
    for (auto const& [instance, it] : table.peers())
    {
        if (!out.uses_relays || !table.is_remote(it))
        {
            out.neighbours.push_back(it.address);
            bool const ranks_first = relay_rank(local_data_centre, instance) < local_rank;
            bool const is_heard = it.has_reported && !table.is_silent(now, it);
            out.local_is_relay = out.local_is_relay && !(ranks_first && is_heard);
            continue;
        }
        // A silent instance may still be the relay when the whole data centre is cut off; it comes
        // after those that are heard from.
        auto const silent_bit = std::uint64_t{table.is_silent(now, it)} << 63U;
        auto const rank = relay_rank(it.data_centre, instance) >> 1U;
        remote[it.data_centre].emplace_back(silent_bit | rank, it.address);
    }
    for (auto& [data_centre, ranked] : remote)
    {
        std::sort(ranked.begin(), ranked.end());
        ranked.resize(std::min(ranked.size(), relays_per_data_centre));
        for (auto& it : ranked)
            out.remote_relays.push_back(std::move(it.second));
    }
    return out;
}

} // namespace savorymount::membership
