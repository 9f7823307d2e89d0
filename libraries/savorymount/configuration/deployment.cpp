#include <savorymount/base/digest.hpp>
#include <savorymount/configuration/deployment.hpp>

#include <utility>

namespace savorymount::configuration
{
namespace
{

// Workspaces that become isolated leave parts behind under the scope that they shared. So the scope
// of the others names all isolated workspaces: under it, none of these has ever made a part. It
// follows from the configuration alone and is the same at every instance.
std::string scope_without(std::set<std::string> const& isolated_workspaces)
{
    if (isolated_workspaces.empty())
        return "";
    std::uint64_t digest = 0;
    for (auto const& it : isolated_workspaces)
        digest = base::chain_digest(digest, it);
    return "-" + base::to_hex(digest);
}

} // namespace

deployment_index::deployment_index(deployment data) : data_(std::move(data))
{
    for (std::size_t i = 0; i < data_.routes.size(); ++i)
        by_prefix_.try_emplace(data_.routes[i].host, data_.routes[i].path_prefix, i);
    for (std::size_t i = 0; i < data_.workspaces.size(); ++i)
    {
        for (auto const& key : data_.workspaces[i].keys)
            by_key_[key] = i;
        if (data_.workspaces[i].isolated)
            isolated_workspaces_.insert(data_.workspaces[i].name);
    }
    shared_cache_scope_ = scope_without(isolated_workspaces_);
}

std::string isolated_cache_scope(std::string const& workspace)
{
    return "." + workspace;
}

std::string deployment_index::cache_scope(std::string const& workspace) const
{
    return isolated_workspaces_.contains(workspace) ? isolated_cache_scope(workspace)
                                                    : shared_cache_scope_;
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
