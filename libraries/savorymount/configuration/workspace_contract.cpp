#include <savorymount/configuration/object_reader.hpp>
#include <savorymount/configuration/workspace_contract.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace savorymount::configuration
{

bool workspace_contract::allows(std::string const& route) const
{
    return std::find(routes.begin(), routes.end(), route) != routes.end();
}

std::optional<workspace_contract>
parse_workspace_contract(nlohmann::json const& value, std::string const& path, base::error& reason)
{
    object_reader reader(workspace_schema(), value, path, reason);
    workspace_contract out;
    out.workspace = reader.text("workspace");
    out.rate_tokens_per_second = reader.number("rate_tokens_per_second");
    out.burst_tokens = reader.number("burst_tokens");
    out.weight = static_cast<std::uint32_t>(reader.number("weight"));
    out.routes = reader.texts("routes");
    auto const keys = reader.objects("keys");
    if (!reader.ok())
        return std::nullopt;
    for (std::size_t i = 0; i < keys.size(); ++i)
    {
        auto key = parse_key_record(keys[i], reader.path_of("keys", i), reason);
        if (!key)
            return std::nullopt;
        out.keys.push_back(std::move(*key));
    }
    return out;
}

} // namespace savorymount::configuration
