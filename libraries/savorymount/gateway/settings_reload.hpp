#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/gateway/gateway_settings.hpp>
#include <savorymount/runtime/settings_parser.hpp>

#include <optional>
#include <string>
#include <utility>
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

/// Reloads the settings of a running process.
class settings_reload
{
public:
    explicit settings_reload(runtime::settings_origin origin)
        : source_(std::move(origin.source)), active_settings_(std::move(origin.active))
    {
    }

    /// Reads the settings again, updates the reloadable ones in `settings` and returns every
    /// difference. Empty, with a reason, if they are invalid; then nothing changes.
    std::optional<std::vector<setting_change>> read(gateway_settings& settings,
                                                    base::error& reason);

private:
    runtime::settings_source source_;
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
