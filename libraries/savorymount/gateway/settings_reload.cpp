#include <savorymount/gateway/settings_reload.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>
#include <string_view>
#include <utility>

namespace savorymount::gateway
{
namespace
{

constexpr std::array<std::string_view, 9> changeable{
    "grace-s",        "drain-ms",       "version-ms",      "retry-ratio", "retry-slack",
    "retry-window-s", "quota-window-s", "loading-at-once", "log-lines"};

bool may_change(std::string const& name)
{
    return std::find(changeable.begin(), changeable.end(), name) != changeable.end();
}

void take_changeable(gateway_settings& settings, gateway_settings const& read)
{
    settings.grace = read.grace;
    settings.version_bound = read.version_bound;
    settings.drain_bound = read.drain_bound;
    settings.retries = read.retries;
    settings.quota_window = read.quota_window;
    settings.loading_at_once = read.loading_at_once;
    settings.log_lines_per_second = read.log_lines_per_second;
}

} // namespace

std::optional<std::vector<setting_change>> settings_reload::read(gateway_settings& settings,
                                                                 base::error& reason)
{
    auto const values = source_(reason);
    if (!values)
        return std::nullopt;
    auto const parsed = parse_gateway_settings(*values, reason);
    if (!parsed)
        return std::nullopt;
    std::vector<setting_change> out;
    for (auto const& [name, value] : values->values)
    {
        auto& held = in_force_.values.at(name);
        if (held.text == value.text)
            continue;
        bool const in_force = may_change(name);
        out.push_back({name, held.text, value.text, in_force});
        if (in_force)
            held = value;
    }
    take_changeable(settings, *parsed);
    return out;
}

bool settings_file_watch::changed()
{
    if (path_.empty())
        return false;
    std::ifstream in(path_);
    if (!in)
        return false;
    std::ostringstream text;
    text << in.rdbuf();
    auto const before = std::exchange(last_, text.str());
    return before != last_;
}

} // namespace savorymount::gateway
