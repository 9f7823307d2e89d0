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

/// One setting whose value differs from the one in force.
struct setting_change
{
    std::string name;
    std::string before;
    std::string after;
    /// False for a setting that only a new start takes.
    bool applied = false;

    bool operator==(setting_change const&) const = default;
};

/// Reads flags, environment and the settings file.
using settings_source = std::function<std::optional<runtime::parsed_settings>(base::error&)>;

/// Follows the settings of a running process.
class settings_reload
{
public:
    settings_reload(settings_source source, runtime::parsed_settings in_force)
        : source_(std::move(source)), in_force_(std::move(in_force))
    {
    }

    /// Reads the settings again. On success `settings` takes those that may change while the
    /// process runs, and the result names every difference. Empty, with a reason, if they can't be
    /// read; then everything stays as it is.
    std::optional<std::vector<setting_change>> read(gateway_settings& settings,
                                                    base::error& reason);

private:
    settings_source source_;
    runtime::parsed_settings in_force_;
};

/// Tells when the settings file was replaced or written.
class settings_file_watch
{
public:
    /// `path` is empty when there is no file.
    explicit settings_file_watch(std::string path) : path_(std::move(path)) { changed(); }

    /// Whether the file differs from the last call. A file that can't be read has not changed.
    bool changed();

private:
    std::string path_;
    std::optional<std::string> last_content_;
};

} // namespace savorymount::gateway
