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

/// A setting that may change while the process runs.
struct changeable_setting
{
    std::string_view name;
    void (*take)(gateway_settings& in_force, gateway_settings const& read);
};

template <auto Member>
void take_member(gateway_settings& in_force, gateway_settings const& read)
{
    in_force.*Member = read.*Member;
}

template <auto Member>
void take_retry_member(gateway_settings& in_force, gateway_settings const& read)
{
    in_force.retries.*Member = read.retries.*Member;
}

constexpr std::array<changeable_setting, 9> changeable{{
    {"grace-s", take_member<&gateway_settings::grace>},
    {"drain-ms", take_member<&gateway_settings::drain_bound>},
    {"version-ms", take_member<&gateway_settings::version_bound>},
    {"retry-ratio", take_retry_member<&retries::retry_quota_options::ratio>},
    {"retry-slack", take_retry_member<&retries::retry_quota_options::slack>},
    {"retry-window-s", take_retry_member<&retries::retry_quota_options::window>},
    {"quota-window-s", take_member<&gateway_settings::quota_window>},
    {"loading-at-once", take_member<&gateway_settings::loading_at_once>},
    {"log-lines", take_member<&gateway_settings::log_lines_per_second>},
}};

changeable_setting const* find_changeable(std::string const& name)
{
    auto const* const it = std::find_if(changeable.begin(), changeable.end(),
                                        [&](auto const& one) { return one.name == name; });
    return it == changeable.end() ? nullptr : it;
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
        auto const* const setting = find_changeable(name);
        out.push_back({name, held.text, value.text, setting != nullptr});
        if (setting == nullptr)
            continue;
        setting->take(settings, *parsed);
        held = value;
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
    auto const before = std::exchange(last_, text.str());
    return before != last_;
}

} // namespace savorymount::gateway
