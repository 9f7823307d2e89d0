#include <savorymount/configuration/configuration.hpp>
#include <savorymount/configuration/documents.hpp>
#include <savorymount/configuration/object_reader.hpp>
#include <savorymount/configuration/request_path.hpp>

#include <nlohmann/json.hpp>

#include <set>
#include <utility>

namespace savorymount::configuration
{
namespace
{

constexpr std::string_view workspaces_folder = "workspaces/";
constexpr std::string_view routes_folder = "routes/";
constexpr std::string_view groups_folder = "groups/";

bool refuse(base::error& reason, std::string message)
{
    reason = {base::error_kind::invalid_input, std::move(message)};
    return false;
}

bool check_name(std::string const& document, std::string_view field, std::string const& value,
                base::error& reason)
{
    if (std::string_view(document).substr(document.find('/') + 1) == value)
        return true;
    return refuse(reason, child_path(document, field) +
                              " differs from the document's name; rename one of the two");
}

bool refuse_route(base::error& reason, std::string const& workspace, std::string const& route)
{
    return refuse(reason, child_path(std::string(workspaces_folder) + workspace, "routes") +
                              " names the route \"" + route +
                              "\", which does not exist; add routes/" + route +
                              ".json or remove the name");
}

template <class Map>
auto find_in(Map const& map, std::string const& name)
{
    auto const it = map.find(name);
    return it == map.end() ? nullptr : it->second.value.get();
}

template <class T, class Map>
std::vector<T const*> values_of(Map const& map)
{
    std::vector<T const*> out;
    out.reserve(map.size());
    for (auto const& [name, it] : map)
        out.push_back(it.value.get());
    return out;
}

} // namespace

workspace_contract const* configuration::find_workspace(std::string const& workspace) const
{
    return find_in(workspaces_, workspace);
}

route const* configuration::find_route(std::string const& name) const
{
    return find_in(routes_, name);
}

upstream_group const* configuration::find_group(std::string const& group) const
{
    return find_in(groups_, group);
}

route const* configuration::match_route(std::string_view target) const
{
    auto path = normalized_path(target);
    if (!path)
        return nullptr;
    while (true)
    {
        auto const it = prefixes_.find(path->empty() ? "/" : *path);
        if (it != prefixes_.end())
            return it->second.get();
        if (path->empty())
            return nullptr;
        path->resize(path->rfind('/'));
    }
}

workspace_contract const* configuration::find_workspace_of_key(std::string const& key_id) const
{
    if (!keys_)
        return nullptr;
    auto const it = keys_->find(key_id);
    return it == keys_->end() ? nullptr : it->second.get();
}

key_record const* configuration::find_key(std::string const& key_id) const
{
    auto const* const workspace = find_workspace_of_key(key_id);
    if (workspace == nullptr)
        return nullptr;
    for (auto const& it : workspace->keys)
        if (it.id == key_id)
            return &it;
    return nullptr;
}

std::vector<workspace_contract const*> configuration::workspaces() const
{
    return values_of<workspace_contract>(workspaces_);
}

std::vector<route const*> configuration::routes() const
{
    return values_of<route>(routes_);
}

std::vector<upstream_group const*> configuration::groups() const
{
    return values_of<upstream_group>(groups_);
}

std::optional<configuration> configuration::changed(std::uint64_t version,
                                                    documents::map_type const& changes,
                                                    base::error& reason) const
{
    configuration out = *this;
    out.version_ = version;
    for (auto const& [name, value] : changes)
    {
        auto const bytes = json_size(value, document_limits{}.max_depth);
        if (!is_document_name(name))
            refuse(reason, "a document has an unknown name; use system, workspaces/<name>, "
                           "routes/<name> or groups/<name>");
        else if (!bytes)
            refuse(reason, name + ".json is nested too deeply; see its fields in "
                                  "docs/CONFIGURATION.md");
        else if (value.is_null() ? out.remove_document(name)
                                 : out.put_document(name, value, *bytes, reason))
            continue;
        return std::nullopt;
    }
    if (!out.check_size(reason) || !out.index_keys(changes, *this, reason) ||
        !out.index_prefixes(reason) || !out.check_references(reason))
        return std::nullopt;
    return out;
}

bool configuration::remove_document(std::string const& name)
{
    auto const short_name = name.substr(name.find('/') + 1);
    if (name.starts_with(workspaces_folder))
        workspaces_.erase(short_name);
    else if (name.starts_with(routes_folder))
        routes_.erase(short_name);
    else if (name.starts_with(groups_folder))
        groups_.erase(short_name);
    else
    {
        settings_ = {};
        settings_bytes_ = 0;
    }
    // Removing a missing document is valid, so that a repeated removal is harmless.
    return true;
}

bool configuration::put_document(std::string const& name, nlohmann::json const& value,
                                 std::size_t bytes, base::error& reason)
{
    auto const short_name = name.substr(name.find('/') + 1);
    if (name.starts_with(workspaces_folder))
    {
        auto parsed = parse_workspace_contract(value, name, reason);
        if (!parsed || !check_name(name, "workspace", parsed->workspace, reason))
            return false;
        workspaces_[short_name] = {std::make_shared<workspace_contract const>(std::move(*parsed)),
                                   bytes};
        return true;
    }
    if (name.starts_with(routes_folder))
    {
        auto parsed = parse_route(value, name, reason);
        if (!parsed || !check_name(name, "route", parsed->name, reason))
            return false;
        routes_[short_name] = {std::make_shared<route const>(std::move(*parsed)), bytes};
        return true;
    }
    if (name.starts_with(groups_folder))
    {
        auto parsed = parse_upstream_group(value, name, reason);
        if (!parsed || !check_name(name, "group", parsed->group, reason))
            return false;
        groups_[short_name] = {std::make_shared<upstream_group const>(std::move(*parsed)), bytes};
        return true;
    }
    auto const parsed = parse_system_settings(value, name, reason);
    if (!parsed)
        return false;
    settings_ = *parsed;
    settings_bytes_ = bytes;
    return true;
}

bool configuration::check_size(base::error& reason) const
{
    // Each document also takes its name and punctuation in the text of all documents.
    constexpr std::size_t name_bytes = 80;
    document_limits const limits;
    std::size_t bytes = settings_bytes_;
    auto const add = [&](auto const& map)
    {
        for (auto const& [name, it] : map)
            bytes += it.bytes + name_bytes;
    };
    add(workspaces_);
    add(routes_);
    add(groups_);
    auto const count = workspaces_.size() + routes_.size() + groups_.size();
    if (bytes <= limits.max_bytes && count < limits.max_documents)
        return true;
    reason = {base::error_kind::too_large,
              "the documents exceed " + std::to_string(limits.max_bytes) + " bytes or " +
                  std::to_string(limits.max_documents) + " documents; remove unused ones"};
    return false;
}

bool configuration::check_references(base::error& reason) const
{
    for (auto const& [name, it] : routes_)
    {
        auto const document = std::string(routes_folder) + name;
        auto const* const group = find_group(it.value->group);
        if (group == nullptr)
            return refuse(reason, child_path(document, "group") + " names the group \"" +
                                      it.value->group + "\", which does not exist; add groups/" +
                                      it.value->group + ".json or name another group");
        if (group->kind != it.value->kind)
            return refuse(reason, child_path(document, "kind") +
                                      " differs from the kind of the "
                                      "group \"" +
                                      group->group + "\"; make them equal");
        if (it.value->open && find_workspace(std::string(open_workspace)) == nullptr)
            return refuse(reason, child_path(document, "open") +
                                      " is true, but there is no contract for open routes; add "
                                      "workspaces/open.json or set it to false");
    }
    for (auto const& [name, it] : workspaces_)
        for (auto const& named : it.value->routes)
            if (!routes_.contains(named))
                return refuse_route(reason, name, named);
    return true;
}

bool configuration::index_keys(documents::map_type const& changes, configuration const& previous,
                               base::error& reason)
{
    std::vector<std::string> changed_workspaces;
    for (auto const& [name, unused] : changes)
        if (name.starts_with(workspaces_folder))
            changed_workspaces.push_back(name.substr(workspaces_folder.size()));
    if (changed_workspaces.empty())
        return true;
    auto index = keys_ ? *keys_ : key_index{};
    for (auto const& name : changed_workspaces)
        if (auto const* const old = previous.find_workspace(name))
            for (auto const& key : old->keys)
                index.erase(key.id);
    for (auto const& name : changed_workspaces)
    {
        auto const it = workspaces_.find(name);
        if (it == workspaces_.end())
            continue;
        for (auto const& key : it->second.value->keys)
        {
            auto const [place, added] = index.emplace(key.id, it->second.value);
            if (!added)
                return refuse(reason, child_path(std::string(workspaces_folder) + name, "keys") +
                                          " holds the key id \"" + key.id +
                                          "\" that the workspace \"" + place->second->workspace +
                                          "\" holds already; grant a new key instead");
        }
    }
    keys_ = std::make_shared<key_index const>(std::move(index));
    return true;
}

bool configuration::index_prefixes(base::error& reason)
{
    prefixes_.clear();
    for (auto const& [name, it] : routes_)
    {
        auto const [place, added] = prefixes_.emplace(it.value->path_prefix, it.value);
        if (!added)
            return refuse(reason, child_path(std::string(routes_folder) + name, "path_prefix") +
                                      " is also the prefix of the route \"" + place->second->name +
                                      "\"; choose different prefixes");
    }
    return true;
}

std::optional<configuration> parse_configuration(std::uint64_t version, documents const& content,
                                                 base::error& reason)
{
    // In a change null removes a document; in a whole set it is not a document.
    for (auto const& [name, value] : content.entries())
    {
        if (!value.is_null())
            continue;
        reason = {base::error_kind::invalid_input, "a document is null; give a JSON object"};
        return std::nullopt;
    }
    return configuration().changed(version, content.entries(), reason);
}

} // namespace savorymount::configuration
