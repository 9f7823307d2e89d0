#include <savorymount/membership/instance_directory.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::membership
{
namespace
{

/// Bounds the memory per instance. Older incarnations have exited long before.
constexpr std::size_t max_incarnations_per_instance = 8;

bool contains_incarnation(std::vector<instance> const& entries, std::string const& incarnation)
{
    return std::any_of(entries.begin(), entries.end(),
                       [&](instance const& it) { return it.incarnation == incarnation; });
}

} // namespace

bool instance_directory::apply_list(std::vector<instance> const& list, base::time_point now)
{
    if (list.empty())
        return false;
    std::map<std::string, std::vector<instance>> by_id;
    for (auto const& it : list)
        by_id[it.id].push_back(it);
    bool changed = false;
    for (auto& [id, it] : tracked_)
    {
        if (it.entries.empty() || by_id.contains(id))
            continue;
        it.entries.clear();
        changed = true;
    }
    for (auto& [id, entries] : by_id)
        changed = apply_entries(tracked_[id], std::move(entries), now) || changed;
    update_listed_names(list, now);
    remove_expired(now);
    last_list_time_ = now;
    if (changed)
        invalidate();
    return true;
}

bool instance_directory::apply_entries(tracked_instance& it, std::vector<instance> entries,
                                       base::time_point now)
{
    auto const before = it.entries.empty() ? std::nullopt : std::optional(current_instance(it));
    auto const previous_entries = std::exchange(it.entries, std::move(entries));
    it.updated_at = now;
    for (auto const& entry : it.entries)
    {
        auto& state = find_or_add_incarnation(it, entry.incarnation, now);
        state.leaving = state.leaving || entry.leaving;
    }
    // An outdated list contains only incarnations that were already replaced, so it must not mark
    // newer ones as replaced.
    bool const is_outdated = std::all_of(
        it.entries.begin(), it.entries.end(),
        [&](auto const& entry) { return it.incarnations.at(entry.incarnation).replaced; });
    for (auto const& old : previous_entries)
        if (!is_outdated && !contains_incarnation(it.entries, old.incarnation))
            find_or_add_incarnation(it, old.incarnation, now).replaced = true;
    for (auto const& entry : it.entries)
        if (should_become_current(it, entry.incarnation))
            it.current = entry.incarnation;
    return before != current_instance(it);
}

bool instance_directory::should_become_current(tracked_instance const& it,
                                               std::string const& incarnation)
{
    auto const& state = it.incarnations.at(incarnation);
    auto const current = it.incarnations.find(it.current);
    if (current == it.incarnations.end())
        return true;
    if (state.replaced || current->second.replaced)
        return !state.replaced;
    // The list lags behind: an incarnation that was first seen before the current one is older.
    return !state.leaving && state.first_seen_at >= current->second.first_seen_at;
}

void instance_directory::apply_message(instance_name const& from, bool leaving,
                                       base::time_point now)
{
    auto& it = tracked_[from.id];
    it.updated_at = now;
    auto& state = find_or_add_incarnation(it, from.incarnation, now);
    if (state.replaced)
        return;
    bool const changed =
        state.silent || (leaving && !state.leaving) || it.current != from.incarnation;
    state.silent = false;
    state.leaving = state.leaving || leaving;
    it.current = from.incarnation;
    if (changed)
        invalidate();
}

void instance_directory::mark_silent(instance_name const& name)
{
    auto const it = tracked_.find(name.id);
    if (it == tracked_.end())
        return;
    find_or_add_incarnation(it->second, name.incarnation, it->second.updated_at).silent = true;
    invalidate();
}

instance_directory::incarnation_state&
instance_directory::find_or_add_incarnation(tracked_instance& it, std::string const& incarnation,
                                            base::time_point now)
{
    auto const [state, created] = it.incarnations.try_emplace(incarnation);
    if (!created)
        return state->second;
    state->second.first_seen_at = now;
    while (it.incarnations.size() > max_incarnations_per_instance)
    {
        auto oldest = it.incarnations.end();
        for (auto other = it.incarnations.begin(); other != it.incarnations.end(); ++other)
        {
            bool const in_use = other == state || other->first == it.current ||
                                contains_incarnation(it.entries, other->first);
            if (!in_use && (oldest == it.incarnations.end() ||
                            other->second.first_seen_at < oldest->second.first_seen_at))
                oldest = other;
        }
        if (oldest == it.incarnations.end())
            break;
        it.incarnations.erase(oldest);
    }
    return state->second;
}

std::vector<instance> const& instance_directory::candidates(std::string const& group) const
{
    auto const [found, created] = candidates_.try_emplace(group);
    if (!created)
        return found->second;
    for (auto const& [id, it] : tracked_)
    {
        if (it.entries.empty())
            continue;
        auto const& state = it.incarnations.at(it.current);
        auto const candidate = current_instance(it);
        if (candidate.group == group && !state.leaving && !state.silent)
            found->second.push_back(candidate);
    }
    return found->second;
}

std::vector<instance> instance_directory::instances_with_role(std::string const& role) const
{
    std::vector<instance> out;
    for (auto const& [id, it] : tracked_)
        if (!it.entries.empty() && it.entries.front().role == role)
            out.push_back(current_instance(it));
    return out;
}

std::optional<instance> instance_directory::find(std::string const& id) const
{
    auto const it = tracked_.find(id);
    if (it == tracked_.end() || it->second.entries.empty())
        return std::nullopt;
    return current_instance(it->second);
}

bool instance_directory::is_live(std::string const& id, std::string const& incarnation) const
{
    auto const it = tracked_.find(id);
    return it != tracked_.end() && !it->second.entries.empty() &&
           it->second.current == incarnation && !it->second.incarnations.at(incarnation).silent;
}

bool instance_directory::is_leaving(std::string const& id) const
{
    auto const it = tracked_.find(id);
    return it != tracked_.end() && it->second.incarnations.contains(it->second.current) &&
           it->second.incarnations.at(it->second.current).leaving;
}

std::optional<base::time_point> instance_directory::absent_since(instance_name const& name) const
{
    if (!first_list_time_ || listed_names_.contains(name))
        return std::nullopt;
    auto const it = unlisted_since_.find(name);
    return it == unlisted_since_.end() ? first_list_time_ : it->second;
}

instance instance_directory::current_instance(tracked_instance const& it) const
{
    // An incarnation that is not listed yet uses the address of the one that it replaced, because
    // its message arrived over a connection to that address.
    auto entry =
        std::find_if(it.entries.begin(), it.entries.end(),
                     [&](instance const& listed) { return listed.incarnation == it.current; });
    if (entry == it.entries.end())
        --entry;
    auto out = *entry;
    out.incarnation = it.current;
    out.leaving = it.incarnations.at(it.current).leaving;
    return out;
}

void instance_directory::update_listed_names(std::vector<instance> const& list,
                                             base::time_point now)
{
    if (!first_list_time_)
        first_list_time_ = now;
    std::set<instance_name> names;
    for (auto const& it : list)
        names.insert({it.id, it.incarnation});
    for (auto const& it : listed_names_)
        if (!names.contains(it))
            unlisted_since_[it] = now;
    for (auto const& it : names)
        unlisted_since_.erase(it);
    listed_names_ = std::move(names);
}

void instance_directory::remove_expired(base::time_point now)
{
    std::erase_if(tracked_, [now](auto const& it)
                  { return it.second.entries.empty() && it.second.updated_at + retention <= now; });
    std::erase_if(unlisted_since_, [now](auto const& it) { return it.second + retention <= now; });
}

void instance_directory::invalidate()
{
    ++revision_;
    candidates_.clear();
}

} // namespace savorymount::membership
