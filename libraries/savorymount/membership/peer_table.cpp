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
    auto const known = peers_.find(instance);
    bool const reports_itself =
        known != peers_.end() && known->second.has_reported && !is_silent(now, known->second);
    // A copy of the store may list an earlier process of the instance.
    if (reports_itself && known->second.incarnation != incarnation)
        return;
    auto& it = find_or_add(instance);
    it.address = address;
    move_to_group(it, data_centre);
    if (it.incarnation != incarnation)
        it = {address, incarnation, data_centre, 0, 0, 0, now, false};
}

bool peer_table::apply_report(base::time_point now, peer_report const& report)
{
    if (report.instance == local_instance_)
        return false;
    if (report.leaving)
    {
        removed_incarnations_[report.instance] = report.incarnation;
        left_incarnations_[report.instance] = report.incarnation;
        auto const position = peers_.find(report.instance);
        if (position == peers_.end())
            return false;
        remove(position);
        return true;
    }
    auto const left = left_incarnations_.find(report.instance);
    if (left != left_incarnations_.end() && left->second == report.incarnation)
        return false;
    auto& it = find_or_add(report.instance);
    if (it.incarnation != report.incarnation)
    {
        move_to_group(it, {});
        it = {};
    }
    // A relayed report may arrive after a newer partial one.
    auto const newest = report.partial ? it.sequence : it.full_sequence;
    if (it.has_reported && report.sequence <= newest)
        return false;
    removed_incarnations_.erase(report.instance);
    it.incarnation = report.incarnation;
    it.address = report.address;
    move_to_group(it, report.data_centre);
    it.relay_weight = report.relay_weight;
    it.sequence = std::max(it.sequence, report.sequence);
    if (!report.partial)
        it.full_sequence = report.sequence;
    it.last_seen_at = now;
    it.has_reported = true;
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
        it = remove(it);
    }
}

std::size_t peer_table::silent_count(base::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(), [&](auto const& it) { return is_silent(now, it.second); }));
}

std::vector<std::string> peer_table::instance_names() const
{
    std::vector<std::string> out{local_instance_};
    for (auto const& [instance, it] : peers_)
        out.push_back(instance);
    return out;
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

peer_table::peer& peer_table::find_or_add(std::string const& instance)
{
    auto const [position, added] = peers_.try_emplace(instance);
    if (added)
    {
        ++group_sizes_[position->second.data_centre];
        ++change_count_;
    }
    return position->second;
}

void peer_table::move_to_group(peer& it, std::string const& data_centre)
{
    if (it.data_centre == data_centre)
        return;
    leave_group(it);
    it.data_centre = data_centre;
    ++group_sizes_[data_centre];
}

peer_table::peer_map::iterator peer_table::remove(peer_map::iterator position)
{
    leave_group(position->second);
    ++change_count_;
    return peers_.erase(position);
}

void peer_table::leave_group(peer const& it)
{
    auto const group = group_sizes_.find(it.data_centre);
    if (--group->second == 0)
        group_sizes_.erase(group);
}

} // namespace savorymount::membership
