#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/runtime/kernel_settings.hpp>
#include <savorymount/runtime/settings_parser.hpp>

#include <cstddef>
#include <optional>

namespace savorymount::entry
{

/// Settings of an entry beyond those of every daemon.
struct entry_settings
{
    runtime::kernel_settings kernel;
    /// Where callers connect.
    runtime::network_address http_listen;
    std::size_t max_body_bytes = 0;
    /// How long a request may wait for its upstream to start it.
    base::duration start_deadline{};
};

/// Declares all settings of the entry.
void declare_entry_settings(runtime::settings_parser& parser);

/// Fails with `invalid_input`; the message names the setting.
std::optional<entry_settings> parse_entry_settings(runtime::parsed_settings const& settings,
                                                   base::error& reason);

} // namespace savorymount::entry
