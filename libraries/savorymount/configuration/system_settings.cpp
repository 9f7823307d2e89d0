#include <savorymount/configuration/object_reader.hpp>
#include <savorymount/configuration/system_settings.hpp>

#include <nlohmann/json.hpp>

namespace savorymount::configuration
{

std::optional<system_settings> parse_system_settings(nlohmann::json const& value,
                                                     std::string const& path, base::error& reason)
{
    object_reader reader(system_schema(), value, path, reason);
    system_settings out;
    out.quarantine = std::chrono::seconds(reader.number("quarantine_seconds"));
    out.idempotency_window = std::chrono::seconds(reader.number("idempotency_window_seconds"));
    if (!reader.ok())
        return std::nullopt;
    return out;
}

} // namespace savorymount::configuration
