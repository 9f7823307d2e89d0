#include <savorymount/configuration/object_reader.hpp>
#include <savorymount/configuration/route.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace savorymount::configuration
{

bool route::repeatable(std::string_view method) const
{
    if (kind == upstream_kind::model)
        return true;
    return std::find(repeatable_methods.begin(), repeatable_methods.end(), method) !=
           repeatable_methods.end();
}

std::optional<route> parse_route(nlohmann::json const& value, std::string const& path,
                                 base::error& reason)
{
    object_reader reader(route_schema(), value, path, reason);
    route out;
    out.name = reader.text("route");
    out.path_prefix = reader.text("path_prefix");
    out.group = reader.text("group");
    out.open = reader.flag("open");
    out.repeatable_methods = reader.texts("repeatable_methods");
    out.kind = parse_upstream_kind(reader.text("kind")).value_or(upstream_kind::plain);
    out.cost_tokens = reader.number("cost_tokens");
    if (reader.ok() && out.kind == upstream_kind::model && value.contains("cost_tokens"))
        reader.fail("cost_tokens", "applies to plain routes only; remove it, since requests on "
                                   "model routes cost the tokens that they use");
    if (!reader.ok())
        return std::nullopt;
    return out;
}

} // namespace savorymount::configuration
