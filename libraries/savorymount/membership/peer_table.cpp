#include <savorymount/membership/peer_table.hpp>

#include <algorithm>

namespace savorymount::membership
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration min_interval = 100ms;
constexpr std::size_t max_instances_at_min_interval = 5;
// Up to this number of instances, each reports to all others.
constexpr std::size_t max_instances_without_relays = 12;
// Reports that may be lost or late before an instance counts as silent.
constexpr double intervals_until_silent = 2.5;

} // namespace

base::duration report_interval(std::size_t instance_count)
{
    auto const factor = std::max(instance_count, max_instances_at_min_interval);
    return min_interval * static_cast<std::int64_t>(factor) /
           static_cast<std::int64_t>(max_instances_at_min_interval);
}

void peer_table::register_peer(base::time_point now, std::string const& instance,
                               std::string const& incarnation, std::string const& address,
                               std::string const& data_centre)
{
    auto const removed = removed_incarnations_.find(instance);
    if (instance == local_instance_ ||
        (removed != removed_incarnations_.end() && removed->second == incarnation))
        return;
    auto& it = peers_[instance];
    it.address = address;
    it.data_centre = data_centre;
    if (it.incarnation != incarnation)
        it = {address, incarnation, data_centre, 0, 0, 0, now, false};
    count_groups();
}

bool peer_table::apply_report(base::time_point now, peer_report const& report)
{
    if (report.instance == local_instance_)
        return false;
    if (report.leaving)
    {
        removed_incarnations_[report.instance] = report.incarnation;
        left_incarnations_[report.instance] = report.incarnation;
        bool const removed = peers_.erase(report.instance) > 0;
        count_groups();
        return removed;
    }
    auto const left = left_incarnations_.find(report.instance);
    if (left != left_incarnations_.end() && left->second == report.incarnation)
        return false;
    auto const [position, added] = peers_.try_emplace(report.instance);
    auto& it = position->second;
    if (it.incarnation != report.incarnation)
        it = {};
    // A relayed report may arrive after a newer partial one.
    auto const newest = report.partial ? it.sequence : it.full_sequence;
    if (it.has_reported && report.sequence <= newest)
        return false;
    removed_incarnations_.erase(report.instance);
    bool const moved = added || it.data_centre != report.data_centre;
    it.incarnation = report.incarnation;
    it.address = report.address;
    it.data_centre = report.data_centre;
    it.relay_weight = report.relay_weight;
    it.sequence = std::max(it.sequence, report.sequence);
    if (!report.partial)
        it.full_sequence = report.sequence;
    it.last_seen_at = now;
    it.has_reported = true;
    if (moved)
        count_groups();
    return true;
}

void peer_table::process_resumed(base::time_point now)
{
    // Half of the time until removal: longer than any limit for silence.
    for (auto& [instance, it] : peers_)
        it.last_seen_at = now - options_.remove_after / 2;
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
        count_groups();
    }
}

std::size_t peer_table::silent_count(base::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(), [&](auto const& it) { return is_silent(now, it.second); }));
}

bool peer_table::is_silent(base::time_point now, peer const& it) const
{
    auto expected = report_interval(report_group_size(it.data_centre));
    if (uses_relays() && is_remote(it))
        expected += relay_interval;
    auto const several = base::duration(
        static_cast<std::int64_t>(static_cast<double>(expected.count()) * intervals_until_silent));
    return now - it.last_seen_at > std::max(options_.silent_after, several);
}

bool peer_table::is_remote(peer const& it) const
{
    return !it.data_centre.empty() && it.data_centre != options_.local_data_centre;
}

bool peer_table::uses_relays() const
{
    return !options_.local_data_centre.empty() && instance_count() > max_instances_without_relays &&
           group_sizes_.size() > 1;
}

std::size_t peer_table::report_group_size(std::string const& data_centre) const
{
    if (!uses_relays() || data_centre.empty())
        return instance_count();
    auto const it = group_sizes_.find(data_centre);
    return it == group_sizes_.end() ? instance_count() : it->second;
}

base::duration peer_table::local_report_interval() const
{
    return report_interval(report_group_size(options_.local_data_centre));
}

base::duration peer_table::report_delay() const
{
    return local_report_interval() + (uses_relays() ? relay_interval : base::duration::zero());
}

void peer_table::count_groups()
{
    group_sizes_.clear();
    ++group_sizes_[options_.local_data_centre];
    for (auto const& it : peers_)
        ++group_sizes_[it.second.data_centre];
}

} // namespace savorymount::membership
