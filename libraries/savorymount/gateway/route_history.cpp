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

void add_services(configuration::deployment_index const& configuration, std::string_view host,
                  std::string_view path, std::set<std::string>& out)
{
    auto const* const route = configuration.find_route(host, path);
    // The route may have become resumable since, so it does not matter whether it was.
    if (route == nullptr || route->kind != configuration::repeat_rule::streaming)
        return;
    for (auto const& it : route->shares)
        out.insert(it.service);
}

} // namespace

bool route_history::is_recent(base::time_point now, entry const& it)
{
    return !it.replaced_at || now - *it.replaced_at <= it.lifetime + adoption_time;
}

void route_history::adopt(base::time_point now, index current, base::duration lifetime)
{
    if (!entries_.empty())
        entries_.back().replaced_at = now;
    entries_.push_back({std::move(current), lifetime, std::nullopt});
}

base::duration route_history::lifetime(base::time_point now) const
{
    base::duration out{};
    for (auto const& it : entries_)
    {
        if (is_recent(now, it))
            out = std::max(out, it.lifetime);
    }
    return out;
}

std::set<std::string> route_history::services(base::time_point now, std::string_view host,
                                              std::string_view path) const
{
    std::set<std::string> out;
    for (auto const& it : entries_)
    {
        if (is_recent(now, it))
            add_services(*it.configuration, host, path, out);
    }
    return out;
}

std::set<std::string> route_history::shared_services(base::time_point now) const
{
    // The routes of a path are those of the longest prefix of it in any configuration, so it is
    // enough to look at the prefixes. A prefix of a configuration that has expired does no harm.
    std::set<std::string> out;
    for (auto const& it : entries_)
    {
        for (auto const& route : it.configuration->data().routes)
        {
            auto shared = services(now, route.host, route.path_prefix);
            if (shared.size() > 1)
                out.merge(shared);
        }
    }
    return out;
}

void route_history::expire(base::time_point now)
{
    std::erase_if(entries_, [now](entry const& it) { return !is_recent(now, it); });
}

} // namespace savorymount::gateway
