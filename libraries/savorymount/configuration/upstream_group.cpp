#include <savorymount/configuration/object_reader.hpp>
#include <savorymount/configuration/upstream_group.hpp>

#include <nlohmann/json.hpp>

#include <set>
#include <tuple>

namespace savorymount::configuration
{

std::optional<upstream_group> parse_upstream_group(nlohmann::json const& value,
                                                   std::string const& path, base::error& reason)
{
    object_reader reader(group_schema(), value, path, reason);
    upstream_group out;
    out.group = reader.text("group");
    out.kind = parse_upstream_kind(reader.text("kind")).value_or(upstream_kind::plain);
    out.checks_fencing = reader.flag("checks_fencing");
    out.loading_at_once = static_cast<std::uint32_t>(reader.number("loading_at_once"));
    auto const models = reader.objects("models");
    if (reader.ok() && out.kind == upstream_kind::plain && !models.empty())
        reader.fail("models", "must be empty or missing in a group of kind \"plain\"");
    if (!reader.ok())
        return std::nullopt;
    std::set<std::tuple<std::string, std::string, std::string>> seen;
    for (std::size_t i = 0; i < models.size(); ++i)
    {
        auto model = parse_wanted_model(models[i], reader.path_of("models", i), reason);
        if (!model)
            return std::nullopt;
        if (!seen.insert({model->model, model->adapter, model->version}).second)
        {
            reason = {base::error_kind::invalid_input,
                      reader.path_of("models", i) + " names a model, adapter and version that " +
                          "the list names already; merge the two"};
            return std::nullopt;
        }
        out.models.push_back(std::move(*model));
    }
    return out;
}

} // namespace savorymount::configuration
