#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/base/time.hpp>
#include <savorymount/retries/retry_allowance.hpp>
#include <savorymount/runtime/settings_parser.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace savorymount::gateway
{

/// Settings of the gateway.
struct gateway_settings
{
    std::string instance;
    /// Random string per process start.
    std::string incarnation;
    std::string data_centre;
    runtime::network_address http_listen;
    runtime::network_address ready_listen;
    runtime::network_address metrics_listen;
    runtime::network_address peer_listen;
    std::string platform_plugin;
    runtime::network_address store_address;
    /// Whether the whole deployment starts for the first time.
    bool first_start = false;
    /// Time between SIGTERM and SIGKILL.
    base::duration shutdown_grace_period{};
    base::duration leader_lease{};
    /// Longest time that requests may begin on older weights.
    base::duration max_old_version_time{};
    /// Longest time that an upstream which leaves may get new requests.
    base::duration max_drain_time{};
    retries::retry_bounds retries;
    /// Interval over which a workspace's rate and burst are counted; 0 means every interval.
    base::duration quota_window{};
    /// Engines that load weights at once; 0 derives it from the number of engines.
    std::size_t max_concurrent_loads = 0;
    /// Log lines per second; failures have half of them reserved.
    std::size_t log_lines_per_second = 0;
};

void declare_gateway_settings(runtime::settings_parser& parser);

std::optional<gateway_settings> parse_gateway_settings(runtime::parsed_settings const& settings,
                                                       base::error& reason);

} // namespace savorymount::gateway
