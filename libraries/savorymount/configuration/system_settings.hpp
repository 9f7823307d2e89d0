#pragma once

#include <savorymount/base/error.hpp>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace savorymount::configuration
{

/// Values that hold for the whole system. A missing document means the defaults.
struct system_settings
{
    /// How long a request that crashed two upstreams is refused.
    std::chrono::seconds quarantine{600};
    /// How long an idempotency key is remembered; shorter than the log's retention.
    std::chrono::seconds idempotency_window{3600};

    bool operator==(system_settings const&) const = default;
};

/// Fails with `invalid_input`; `path` is the document's name, `system`.
std::optional<system_settings> parse_system_settings(nlohmann::json const& value,
                                                     std::string const& path, base::error& reason);

} // namespace savorymount::configuration
