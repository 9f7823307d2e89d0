#include <savorymount/routing/upstream_directory.hpp>

#include <algorithm>
#include <functional>

namespace savorymount::routing
{

upstream_id upstream_directory::intern(std::string const& name)
{
    if (auto const it = ids_.find(name); it != ids_.end())
        return it->second;
    upstream_id id = 0;
    if (free_ids_.empty())
    {
        id = static_cast<upstream_id>(names_.size());
        names_.push_back(name);
    }
    else
    {
        std::pop_heap(free_ids_.begin(), free_ids_.end(), std::greater<>{});
        id = free_ids_.back();
        free_ids_.pop_back();
        names_[id] = name;
    }
    ids_.emplace(name, id);
    return id;
}

std::optional<upstream_id> upstream_directory::find(std::string const& name) const
{
    auto const it = ids_.find(name);
    if (it == ids_.end())
        return std::nullopt;
    return it->second;
}

std::string const& upstream_directory::name(upstream_id id) const
{
    static std::string const none;
    return id < names_.size() ? names_[id] : none;
}

void upstream_directory::release(upstream_id id)
{
    if (id >= names_.size() || ids_.erase(names_[id]) == 0)
        return;
    names_[id].clear();
    free_ids_.push_back(id);
    std::push_heap(free_ids_.begin(), free_ids_.end(), std::greater<>{});
}

} // namespace savorymount::routing
