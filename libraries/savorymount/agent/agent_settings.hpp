#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/runtime/kernel_settings.hpp>
#include <savorymount/runtime/settings_parser.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace savorymount::agent
{

/// Settings of an agent beyond those of every daemon.
struct agent_settings
{
    runtime::kernel_settings kernel;
    /// Plug-in for the upstream: `model` or `plain`.
    std::string upstream_plugin;
    runtime::network_address upstream_address;
    /// Requests that run at the upstream at the same time.
    std::uint32_t concurrency = 0;
    /// Longest silence of the upstream while it runs a request; zero means no limit.
    base::duration upstream_idle_timeout{};
};

/// Declares all settings of the agent.
void declare_agent_settings(runtime::settings_parser& parser);

/// Fails with `invalid_input`; the message names the setting.
std::optional<agent_settings> parse_agent_settings(runtime::parsed_settings const& settings,
                                                   base::error& reason);

} // namespace savorymount::agent
