#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/base/time.hpp>
#include <savorymount/gateway/response_memory.hpp>
#include <savorymount/retries/retry_quota.hpp>
#include <savorymount/runtime/settings_parser.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace savorymount::gateway
{

struct gateway_settings
{
    std::string instance;
    /// Unique for each start of the process.
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
    /// Suitability as the relay of its data centre; the highest goes first.
    std::uint32_t relay_weight = 0;
    /// Time between SIGTERM and SIGKILL.
    base::duration shutdown_grace_period{};
    base::duration leader_lease{};
    /// Time after a new weight version is published in which requests may start on older weights.
    base::duration max_old_version_time{};
    /// Time after an upstream starts to drain in which it may get new requests.
    base::duration max_drain_time{};
    retries::retry_quota_options retries;
    /// Interval over which a workspace's rate and burst are enforced; 0 enforces them over every
    /// interval.
    base::duration quota_window{};
    /// Tokens by which a workspace may exceed its limit while reports are on the way.
    double quota_overshoot_tokens = 0;
    /// Engines that may load weights at the same time; 0 derives it from the number of engines.
    std::size_t max_concurrent_loads = 0;
    /// Whether requests wait, or are refused, in the order of their urgency while the engines of a
    /// service can't begin all of them.
    bool order_by_urgency = false;
    response_limits responses;
    /// Memory that the process may use.
    std::size_t memory_bytes = 0;
    /// What running requests keep of their heads.
    std::size_t request_memory_bytes = 0;
    /// Bytes of a response that belong to no body, for example heads and interim responses.
    std::size_t max_response_overhead_bytes = 0;
    /// Log lines per second; half of them are reserved for failures.
    std::size_t log_lines_per_second = 0;
};

void declare_gateway_settings(runtime::settings_parser& parser);

std::optional<gateway_settings> parse_gateway_settings(runtime::parsed_settings const& settings,
                                                       base::error& reason);

} // namespace savorymount::gateway
