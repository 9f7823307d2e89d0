#include <savorymount/configuration/key_record.hpp>
#include <savorymount/configuration/object_reader.hpp>

#include <nlohmann/json.hpp>

namespace savorymount::configuration
{

std::optional<key_record> parse_key_record(nlohmann::json const& value, std::string const& path,
                                           base::error& reason)
{
    object_reader reader(key_schema(), value, path, reason);
    key_record out;
    out.id = reader.text("id");
    out.salt = reader.text("salt");
    out.digest = reader.text("digest");
    if (!reader.ok())
        return std::nullopt;
    return out;
}

nlohmann::json to_json(key_record const& key)
{
    return {{"id", key.id}, {"salt", key.salt}, {"digest", key.digest}};
}

} // namespace savorymount::configuration
