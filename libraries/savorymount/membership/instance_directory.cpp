#include <savorymount/membership/instance_directory.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::membership
{
namespace
{

/// Incarnations remembered per instance; older ones are long gone.
constexpr std::size_t incarnations_kept = 8;

bool shows(std::vector<instance> const& entries, std::string const& incarnation)
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
    for (auto& [id, it] : members_)
    {
        if (it.shown.empty() || by_id.contains(id))
            continue;
        it.shown.clear();
        changed = true;
    }
    for (auto& [id, entries] : by_id)
        changed = apply_entries(members_[id], std::move(entries), now) || changed;
    note_names(list, now);
    forget_old(now);
    list_time_ = now;
    if (changed)
        change();
    return true;
}

bool instance_directory::apply_entries(member& it, std::vector<instance> entries,
                                       base::time_point now)
{
    auto const before = it.shown.empty() ? std::nullopt : std::optional(view(it));
    auto const shown_before = std::exchange(it.shown, std::move(entries));
    it.touched_at = now;
    for (auto const& entry : it.shown)
    {
        auto& state = state_of(it, entry.incarnation, now);
        state.leaving = state.leaving || entry.leaving;
    }
    // A list that steps back shows only replaced incarnations; it replaces nothing.
    bool const steps_back = std::all_of(it.shown.begin(), it.shown.end(),
                                        [&](auto const& entry)
                                        { return it.incarnations.at(entry.incarnation).replaced; });
    for (auto const& old : shown_before)
        if (!steps_back && !shows(it.shown, old.incarnation))
            state_of(it, old.incarnation, now).replaced = true;
    for (auto const& entry : it.shown)
        if (should_become_current(it, entry.incarnation))
            it.current = entry.incarnation;
    return before != view(it);
}

bool instance_directory::should_become_current(member const& it, std::string const& incarnation)
{
    auto const& state = it.incarnations.at(incarnation);
    auto const current = it.incarnations.find(it.current);
    if (current == it.incarnations.end())
        return true;
    if (state.replaced || current->second.replaced)
        return !state.replaced;
    // The list lags: what became known before the current process is older than it.
    return !state.leaving && state.known_at >= current->second.known_at;
}

void instance_directory::hear(instance_name const& from, bool leaving, base::time_point now)
{
    auto& it = members_[from.id];
    it.touched_at = now;
    auto& state = state_of(it, from.incarnation, now);
    if (state.replaced)
        return;
    bool const news = state.silent || (leaving && !state.leaving) || it.current != from.incarnation;
    state.silent = false;
    state.leaving = state.leaving || leaving;
    it.current = from.incarnation;
    if (news)
        change();
}

void instance_directory::fall_silent(instance_name const& name)
{
    auto const it = members_.find(name.id);
    if (it == members_.end())
        return;
    state_of(it->second, name.incarnation, it->second.touched_at).silent = true;
    change();
}

instance_directory::incarnation_state&
instance_directory::state_of(member& it, std::string const& incarnation, base::time_point now)
{
    auto const [state, created] = it.incarnations.try_emplace(incarnation);
    if (!created)
        return state->second;
    state->second.known_at = now;
    while (it.incarnations.size() > incarnations_kept)
    {
        auto oldest = it.incarnations.end();
        for (auto other = it.incarnations.begin(); other != it.incarnations.end(); ++other)
        {
            bool const in_use =
                other == state || other->first == it.current || shows(it.shown, other->first);
            if (!in_use && (oldest == it.incarnations.end() ||
                            other->second.known_at < oldest->second.known_at))
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
    for (auto const& [id, it] : members_)
    {
        if (it.shown.empty())
            continue;
        auto const& state = it.incarnations.at(it.current);
        auto const candidate = view(it);
        if (candidate.group == group && !state.leaving && !state.silent)
            found->second.push_back(candidate);
    }
    return found->second;
}

std::vector<instance> instance_directory::with_role(std::string const& role) const
{
    std::vector<instance> out;
    for (auto const& [id, it] : members_)
        if (!it.shown.empty() && it.shown.front().role == role)
            out.push_back(view(it));
    return out;
}

std::optional<instance> instance_directory::find(std::string const& id) const
{
    auto const it = members_.find(id);
    if (it == members_.end() || it->second.shown.empty())
        return std::nullopt;
    return view(it->second);
}

bool instance_directory::is_live(std::string const& id, std::string const& incarnation) const
{
    auto const it = members_.find(id);
    return it != members_.end() && !it->second.shown.empty() && it->second.current == incarnation &&
           !it->second.incarnations.at(incarnation).silent;
}

bool instance_directory::is_leaving(std::string const& id) const
{
    auto const it = members_.find(id);
    return it != members_.end() && it->second.incarnations.contains(it->second.current) &&
           it->second.incarnations.at(it->second.current).leaving;
}

std::optional<base::time_point> instance_directory::absent_since(instance_name const& name) const
{
    if (!first_list_time_ || shown_names_.contains(name))
        return std::nullopt;
    auto const it = vanished_.find(name);
    return it == vanished_.end() ? first_list_time_ : it->second;
}

instance instance_directory::view(member const& it) const
{
    // A process that the list does not show yet has the address of the one that it replaced: the
    // message that named it came from there.
    auto entry = std::find_if(it.shown.begin(), it.shown.end(),
                              [&](instance const& at) { return at.incarnation == it.current; });
    if (entry == it.shown.end())
        --entry;
    auto out = *entry;
    out.incarnation = it.current;
    out.leaving = it.incarnations.at(it.current).leaving;
    return out;
}

void instance_directory::note_names(std::vector<instance> const& list, base::time_point now)
{
    if (!first_list_time_)
        first_list_time_ = now;
    std::set<instance_name> names;
    for (auto const& it : list)
        names.insert({it.id, it.incarnation});
    for (auto const& it : shown_names_)
        if (!names.contains(it))
            vanished_[it] = now;
    for (auto const& it : names)
        vanished_.erase(it);
    shown_names_ = std::move(names);
}

void instance_directory::forget_old(base::time_point now)
{
    std::erase_if(members_, [now](auto const& it)
                  { return it.second.shown.empty() && it.second.touched_at + memory <= now; });
    std::erase_if(vanished_, [now](auto const& it) { return it.second + memory <= now; });
}

void instance_directory::change()
{
    ++revision_;
    candidates_.clear();
}

} // namespace savorymount::membership
