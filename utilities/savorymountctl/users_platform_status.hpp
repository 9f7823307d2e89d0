#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/configuration/deployment.hpp>
#include <savorymount/gateway/platform_adapter.hpp>
#include <savorymount/membership/upstream_record.hpp>
#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/settings_parser.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace savorymount::control
{

/// What the metadata store of the users' platform holds.
struct users_platform_status
{
    std::optional<configuration::deployment> deployment;
    /// Newest weight version by model.
    std::map<std::string, std::uint64_t> weights;
    std::map<std::string, membership::upstream_record> upstreams;
    gateway::membership_page duties;

    bool operator==(users_platform_status const&) const = default;
};

/// Reads the store once. Empty, with `unavailable`, if it does not answer within some seconds.
std::optional<users_platform_status> read_users_platform(runtime::event_loop& loop,
                                                         std::string const& plugin,
                                                         runtime::network_address const& store,
                                                         base::error& reason);

/// The status as text for operators.
std::string to_text(users_platform_status const& it);

} // namespace savorymount::control
