#include <savorymount/membership/peer_roster.hpp>

#include <algorithm>

namespace savorymount::membership
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration shortest_interval = 100ms;
constexpr std::size_t instances_at_shortest_interval = 5;

} // namespace

base::duration report_interval(std::size_t instances)
{
    auto const factor = std::max(instances, instances_at_shortest_interval);
    return shortest_interval * static_cast<std::int64_t>(factor) /
           static_cast<std::int64_t>(instances_at_shortest_interval);
}

void peer_roster::announced(base::time_point now, std::string const& instance,
                            std::string const& incarnation, std::string const& address)
{
    auto const gone = forgotten_.find(instance);
    if (instance == own_instance_ || (gone != forgotten_.end() && gone->second == incarnation))
        return;
    auto& it = peers_[instance];
    it.address = address;
    if (it.incarnation == incarnation)
        return;
    it = {address, incarnation, 0, now, false};
}

bool peer_roster::heard(base::time_point now, peer_report const& report)
{
    if (report.instance == own_instance_)
        return false;
    if (report.leaving)
    {
        forgotten_[report.instance] = report.incarnation;
        return peers_.erase(report.instance) > 0;
    }
    auto& it = peers_[report.instance];
    if (it.incarnation == report.incarnation && it.heard && report.sequence <= it.sequence)
        return false;
    forgotten_.erase(report.instance);
    it.incarnation = report.incarnation;
    it.address = report.address;
    it.sequence = report.sequence;
    it.heard_at = now;
    it.heard = true;
    return true;
}

void peer_roster::expire(base::time_point now)
{
    for (auto it = peers_.begin(); it != peers_.end();)
    {
        if (now - it->second.heard_at <= options_.forget)
        {
            ++it;
            continue;
        }
        forgotten_[it->first] = it->second.incarnation;
        it = peers_.erase(it);
    }
}

std::size_t peer_roster::silent(base::time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(),
                      [&](auto const& it) { return now - it.second.heard_at > options_.silence; }));
}

} // namespace savorymount::membership
