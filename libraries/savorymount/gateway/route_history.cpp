#include <savorymount/gateway/route_history.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;

// Other instances begin streams under the former configuration until they have read the new one.
constexpr base::duration adoption_time = 2s;

std::set<std::string> find_services(configuration::deployment_index const& configuration,
                                    std::string_view host, std::string_view path)
{
    std::set<std::string> out;
    auto const* const route = configuration.find_route(host, path);
    // The route may have become resumable since, so it does not matter whether it was.
    if (route == nullptr || route->kind != configuration::repeat_rule::streaming)
        return out;
    for (auto const& it : route->shares)
        out.insert(it.service);
    return out;
}

} // namespace

void route_history::period::replace(base::time_point end)
{
    if (std::exchange(in_force, false))
        ends_at = std::max(ends_at, end);
}

void route_history::adopt(base::time_point now, index const& current, base::duration lifetime)
{
    replace_current(now);
    configurations_.push_back({lifetime, {}});
    add_prefixes(*current);
    add_destinations(*current);
}

void route_history::replace_current(base::time_point now)
{
    if (configurations_.empty())
        return;
    auto& replaced = configurations_.back();
    auto const end = now + replaced.lifetime + adoption_time;
    replaced.used.replace(end);
    for (auto& [host, prefixes] : prefixes_.hosts())
    {
        for (auto& [prefix, history] : prefixes)
        {
            history.listed.replace(end);
            for (auto& it : history.destinations)
                it.used.replace(end);
        }
    }
}

void route_history::add_prefixes(configuration::deployment_index const& current)
{
    for (auto const& it : current.data().routes)
    {
        if (auto* const known = prefixes_.find_prefix(it.host, it.path_prefix))
        {
            known->listed.in_force = true;
            continue;
        }
        // Its paths were led where the next shorter prefix was.
        prefix_history added;
        if (auto const* const shorter = prefixes_.find(it.host, it.path_prefix))
            added.destinations = shorter->destinations;
        prefixes_.try_emplace(it.host, it.path_prefix, std::move(added));
    }
}

void route_history::add_destinations(configuration::deployment_index const& current)
{
    for (auto& [host, prefixes] : prefixes_.hosts())
    {
        for (auto& [prefix, history] : prefixes)
        {
            auto services = find_services(current, host, prefix);
            auto const known =
                std::ranges::find(history.destinations, services, &destination::services);
            if (known != history.destinations.end())
                known->used.in_force = true;
            else
                history.destinations.push_back({std::move(services), {}});
        }
    }
}

base::duration route_history::lifetime(base::time_point now) const
{
    base::duration out{};
    for (auto const& it : configurations_)
    {
        if (it.used.is_recent(now))
            out = std::max(out, it.lifetime);
    }
    return out;
}

bool route_history::may_be_shared(prefix_history const& it)
{
    return it.destinations.size() > 1 || it.destinations.front().services.size() > 1;
}

std::set<std::string> route_history::services_of(base::time_point now, prefix_history const& it)
{
    std::set<std::string> out;
    for (auto const& destination : it.destinations)
    {
        if (destination.used.is_recent(now))
            out.insert(destination.services.begin(), destination.services.end());
    }
    return out;
}

std::set<std::string> route_history::services(base::time_point now, std::string_view host,
                                              std::string_view path) const
{
    auto const* const found = prefixes_.find(host, path.substr(0, path.find('?')));
    return found == nullptr ? std::set<std::string>() : services_of(now, *found);
}

std::set<std::string> route_history::shared_services(base::time_point now) const
{
    // The routes of a path are those of the longest prefix of it in any configuration, so it is
    // enough to look at the prefixes. A prefix of a configuration that has expired does no harm.
    std::set<std::string> out;
    for (auto const& [host, prefixes] : prefixes_.hosts())
    {
        for (auto const& [prefix, history] : prefixes)
        {
            if (!may_be_shared(history))
                continue;
            auto shared = services_of(now, history);
            if (shared.size() > 1)
                out.merge(shared);
        }
    }
    return out;
}

void route_history::expire(base::time_point now)
{
    std::erase_if(configurations_, [now](auto const& it) { return !it.used.is_recent(now); });
    prefixes_.erase_if([now](auto const& it) { return !it.listed.is_recent(now); });
    for (auto& [host, prefixes] : prefixes_.hosts())
    {
        for (auto& [prefix, history] : prefixes)
            std::erase_if(history.destinations,
                          [now](auto const& it) { return !it.used.is_recent(now); });
    }
}

} // namespace savorymount::gateway
