#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/base/time.hpp>
#include <savorymount/runtime/settings_parser.hpp>

#include <optional>
#include <string>

namespace savorymount::runtime
{

/// Settings that every daemon has.
struct kernel_settings
{
    std::string instance;
    /// Random string per process start; `<instance>#<incarnation>` names the process in the list.
    std::string incarnation;
    std::string role;
    std::string data_centre;
    /// The upstream group of an agent; empty for an entry.
    std::string group;
    network_address listen;
    network_address status_listen;
    std::string log_plugin;
    network_address log_address;
    std::string list_plugin;
    network_address list_address;
    std::string shared_secret;
    base::duration log_retention{};

    /// The name of this process in the platform's list.
    std::string name() const { return instance + "#" + incarnation; }
};

/// Declares the settings above.
void declare_kernel_settings(settings_parser& parser);

/// Reads the settings above; `role` is `entry` or `agent`.
std::optional<kernel_settings> parse_kernel_settings(parsed_settings const& settings,
                                                     std::string role, base::error& reason);

} // namespace savorymount::runtime
