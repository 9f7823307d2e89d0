#include <savorymount/orders/model_load_slots.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::orders
{

model_load_slots::model_load_slots(std::string group, base::duration max_list_lag)
    : group_(std::move(group)), max_list_lag_(max_list_lag)
{
}

void model_load_slots::apply(base::time_point now, std::uint64_t offset, slot_record const& record)
{
    if (offset <= applied_offset_)
        return;
    applied_offset_ = offset;
    if (record.group != group_)
        return;
    auto const id = record.list_entry_id();
    auto const index = position(id);
    last_changed_at_[id] = now;
    if (record.action == slot_record::action_kind::release)
    {
        if (index)
            queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(*index));
        return;
    }
    // A repeated take keeps the agent's place in the queue.
    if (!index)
        queue_.push_back({id, std::nullopt});
}

void model_load_slots::apply_agent_list(base::time_point now, limits::agent_list const& list)
{
    for (auto& it : queue_)
    {
        if (list.contains(it.list_entry_id))
            it.absent_since.reset();
        else if (!it.absent_since)
            // A process that has just started may not be listed yet.
            it.absent_since = now;
    }
    auto const is_gone = [&](queue_entry const& it)
    {
        return it.absent_since && now - *it.absent_since >= max_list_lag_;
    };
    std::erase_if(queue_, is_gone);
    std::erase_if(last_changed_at_,
                  [&](auto const& it)
                  {
                      return !list.contains(it.first) && !position(it.first) &&
                             now - it.second >= 2 * max_list_lag_;
                  });
}

bool model_load_slots::holds_slot(std::string const& list_entry_id, std::size_t limit) const
{
    auto const index = position(list_entry_id);
    return index && *index < limit;
}

bool model_load_slots::in_queue(std::string const& list_entry_id) const
{
    return position(list_entry_id).has_value();
}

bool model_load_slots::holds_earlier_slot(std::string const& list_entry_id,
                                          std::string const& other_id, std::size_t limit) const
{
    auto const index = position(list_entry_id);
    auto const other_index = position(other_id);
    return index && *index < limit && (!other_index || *index < *other_index);
}

std::optional<base::time_point>
model_load_slots::last_changed_at(std::string const& list_entry_id) const
{
    auto const found = last_changed_at_.find(list_entry_id);
    return found == last_changed_at_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::size_t> model_load_slots::position(std::string const& list_entry_id) const
{
    auto const found =
        std::find_if(queue_.begin(), queue_.end(),
                     [&](queue_entry const& it) { return it.list_entry_id == list_entry_id; });
    if (found == queue_.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - queue_.begin());
}

} // namespace savorymount::orders
