#include <savorymount/membership/peer_table.hpp>

#include <algorithm>

namespace savorymount::membership
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration min_interval = 100ms;
constexpr std::size_t max_instances_at_min_interval = 5;

} // namespace

base::duration report_interval(std::size_t instance_count)
{
    auto const factor = std::max(instance_count, max_instances_at_min_interval);
    return min_interval * static_cast<std::int64_t>(factor) /
           static_cast<std::int64_t>(max_instances_at_min_interval);
}

void peer_table::register_peer(base::time_point now, std::string const& instance,
                               std::string const& incarnation, std::string const& address)
{
    auto const removed = removed_incarnations_.find(instance);
    if (instance == local_instance_ ||
        (removed != removed_incarnations_.end() && removed->second == incarnation))
        return;
    auto& it = peers_[instance];
    it.address = address;
    if (it.incarnation == incarnation)
        return;
    it = {address, incarnation, 0, now, false};
}

bool peer_table::apply_report(base::time_point now, peer_report const& report)
{
    if (report.instance == local_instance_)
        return false;
    if (report.leaving)
    {
        removed_incarnations_[report.instance] = report.incarnation;
        return peers_.erase(report.instance) > 0;
    }
    auto& it = peers_[report.instance];
    if (it.incarnation == report.incarnation && it.has_reported && report.sequence <= it.sequence)
        return false;
    removed_incarnations_.erase(report.instance);
    it.incarnation = report.incarnation;
    it.address = report.address;
    it.sequence = report.sequence;
    it.last_seen_at = now;
    it.has_reported = true;
    return true;
}

void peer_table::process_resumed(base::time_point now)
{
    auto const silent = now - options_.silent_after - base::duration(1);
    for (auto& [instance, it] : peers_)
        it.last_seen_at = silent;
}

void peer_table::remove_expired(base::time_point now)
{
    for (auto it = peers_.begin(); it != peers_.end();)
    {
        if (now - it->second.last_seen_at <= options_.remove_after)
        {
            ++it;
            continue;
        }
        removed_incarnations_[it->first] = it->second.incarnation;
        it = peers_.erase(it);
    }
}

std::size_t peer_table::silent_count(base::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(),
        [&](auto const& it) { return now - it.second.last_seen_at > options_.silent_after; }));
}

} // namespace savorymount::membership
