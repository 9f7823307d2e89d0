#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/gateway/gateway_settings.hpp>
#include <savorymount/runtime/settings_parser.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::gateway
{

/// A setting whose new value differs from the current one.
struct setting_change
{
    std::string name;
    std::string before;
    std::string after;
    /// False if the setting takes effect only after a restart.
    bool applied = false;

    bool operator==(setting_change const&) const = default;
};

/// Reads the settings from flags, environment and the settings file.
using settings_source = std::function<std::optional<runtime::parsed_settings>(base::error&)>;

/// Reloads the settings of a running process.
class settings_reload
{
public:
    settings_reload(settings_source source, runtime::parsed_settings active_settings)
        : source_(std::move(source)), active_settings_(std::move(active_settings))
    {
    }

    /// Reads the settings again, updates the reloadable ones in `settings` and returns every
    /// difference. Empty, with a reason, if they are invalid; then nothing changes.
    std::optional<std::vector<setting_change>> read(gateway_settings& settings,
                                                    base::error& reason);

private:
    settings_source source_;
    runtime::parsed_settings active_settings_;
};

/// Detects changes of the settings file.
class settings_file_watch
{
public:
    /// `path` is empty if there is no file.
    explicit settings_file_watch(std::string path) : path_(std::move(path)) { changed(); }

    /// Whether the content differs from the last call. False if the file can't be read.
    bool changed();

private:
    std::string path_;
    std::optional<std::string> last_content_;
};

} // namespace savorymount::gateway
