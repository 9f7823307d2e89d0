#include <savorymount/configuration/deployment.hpp>

#include <utility>

namespace savorymount::configuration
{

deployment_index::deployment_index(deployment data) : data_(std::move(data))
{
    for (std::size_t i = 0; i < data_.routes.size(); ++i)
        by_prefix_.try_emplace(data_.routes[i].host, data_.routes[i].path_prefix, i);
    for (std::size_t i = 0; i < data_.workspaces.size(); ++i)
    {
        for (auto const& key : data_.workspaces[i].keys)
            by_key_[key] = i;
    }
}

service_route const* deployment_index::find_route(std::string_view host,
                                                  std::string_view path) const
{
    auto const* const found = by_prefix_.find(host, path.substr(0, path.find('?')));
    return found == nullptr ? nullptr : &data_.routes[*found];
}

workspace_account const* deployment_index::find_workspace(std::string const& key) const
{
    auto const it = by_key_.find(key);
    return it == by_key_.end() ? nullptr : &data_.workspaces[it->second];
}

service_description const* deployment_index::find_service(std::string const& name) const
{
    auto const it = data_.services.find(name);
    return it == data_.services.end() ? nullptr : &it->second;
}

cache_store const* deployment_index::find_cache_store() const
{
    for (auto const& it : data_.services)
    {
        if (it.second.store)
            return &*it.second.store;
    }
    return nullptr;
}

} // namespace savorymount::configuration
