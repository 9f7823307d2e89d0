#include <savorymount/configuration/object_reader.hpp>
#include <savorymount/configuration/wanted_model.hpp>

#include <nlohmann/json.hpp>

namespace savorymount::configuration
{

std::optional<wanted_model> parse_wanted_model(nlohmann::json const& value, std::string const& path,
                                               base::error& reason)
{
    object_reader reader(model_schema(), value, path, reason);
    wanted_model out;
    out.model = reader.text("model");
    out.adapter = reader.text("adapter");
    out.version = reader.text("version");
    out.engines = static_cast<std::uint32_t>(reader.number("engines"));
    out.max_answer_tokens = reader.number("max_answer_tokens");
    if (!reader.ok())
        return std::nullopt;
    return out;
}

} // namespace savorymount::configuration
