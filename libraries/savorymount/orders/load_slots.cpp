#include <savorymount/orders/load_slots.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::orders
{

load_slots::load_slots(std::string group, base::duration list_lag_bound)
    : group_(std::move(group)), list_lag_bound_(list_lag_bound)
{
}

void load_slots::apply(base::time_point now, std::uint64_t offset, slot_record const& record)
{
    if (offset <= applied_)
        return;
    applied_ = offset;
    if (record.group != group_)
        return;
    auto const id = record.list_id();
    auto const at = position(id);
    changed_[id] = now;
    if (record.action == slot_record::action_kind::release)
    {
        if (at)
            takers_.erase(takers_.begin() + static_cast<std::ptrdiff_t>(*at));
        return;
    }
    // A second take does not move its taker to the back.
    if (!at)
        takers_.push_back({id, std::nullopt});
}

void load_slots::list_read(base::time_point now, limits::agent_list const& list)
{
    for (auto& it : takers_)
    {
        if (list.contains(it.list_id))
            it.absent_since.reset();
        else if (!it.absent_since)
            // A new process may not be in the list yet.
            it.absent_since = now;
    }
    auto const vanished = [&](taker const& it)
    {
        return it.absent_since && now - *it.absent_since >= list_lag_bound_;
    };
    std::erase_if(takers_, vanished);
    std::erase_if(changed_,
                  [&](auto const& it)
                  {
                      return !list.contains(it.first) && !position(it.first) &&
                             now - it.second >= 2 * list_lag_bound_;
                  });
}

bool load_slots::holds(std::string const& list_id, std::size_t limit) const
{
    auto const at = position(list_id);
    return at && *at < limit;
}

bool load_slots::queued(std::string const& list_id) const
{
    return position(list_id).has_value();
}

bool load_slots::holds_before(std::string const& list_id, std::string const& other,
                              std::size_t limit) const
{
    auto const at = position(list_id);
    auto const other_at = position(other);
    return at && *at < limit && (!other_at || *at < *other_at);
}

std::optional<base::time_point> load_slots::changed_at(std::string const& list_id) const
{
    auto const found = changed_.find(list_id);
    return found == changed_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::size_t> load_slots::position(std::string const& list_id) const
{
    auto const found = std::find_if(takers_.begin(), takers_.end(),
                                    [&](taker const& it) { return it.list_id == list_id; });
    if (found == takers_.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - takers_.begin());
}

} // namespace savorymount::orders
