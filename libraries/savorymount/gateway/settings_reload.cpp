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

/// A setting that may be changed while the process runs.
struct reloadable_setting
{
    std::string_view name;
    void (*copy)(gateway_settings& target, gateway_settings const& source);
};

template <auto Member>
void copy_member(gateway_settings& target, gateway_settings const& source)
{
    target.*Member = source.*Member;
}

template <auto Member>
void copy_retry_member(gateway_settings& target, gateway_settings const& source)
{
    target.retries.*Member = source.retries.*Member;
}

constexpr std::array<reloadable_setting, 9> reloadable_settings{{
    {"grace-s", copy_member<&gateway_settings::shutdown_grace_period>},
    {"drain-ms", copy_member<&gateway_settings::max_drain_time>},
    {"version-ms", copy_member<&gateway_settings::max_old_version_time>},
    {"retry-ratio", copy_retry_member<&retries::retry_quota_options::ratio>},
    {"retry-slack", copy_retry_member<&retries::retry_quota_options::slack>},
    {"retry-window-s", copy_retry_member<&retries::retry_quota_options::window>},
    {"quota-window-s", copy_member<&gateway_settings::quota_window>},
    {"loading-at-once", copy_member<&gateway_settings::max_concurrent_loads>},
    {"log-lines", copy_member<&gateway_settings::log_lines_per_second>},
}};

reloadable_setting const* find_reloadable(std::string const& name)
{
    auto const* const it = std::find_if(reloadable_settings.begin(), reloadable_settings.end(),
                                        [&](auto const& setting) { return setting.name == name; });
    return it == reloadable_settings.end() ? nullptr : it;
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
        auto& current = active_settings_.values.at(name);
        if (current.text == value.text)
            continue;
        auto const* const setting = find_reloadable(name);
        out.push_back({name, current.text, value.text, setting != nullptr});
        if (setting == nullptr)
            continue;
        setting->copy(settings, *parsed);
        current = value;
    }
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
    auto const before = std::exchange(last_content_, text.str());
    return before != last_content_;
}

} // namespace savorymount::gateway
