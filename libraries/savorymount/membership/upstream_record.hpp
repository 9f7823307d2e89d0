#pragma once

#include <savorymount/base/time.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace savorymount::membership
{

/// What an upstream says of itself in the platform's list.
struct upstream_record
{
    /// Names one incarnation; a restarted upstream mostly has another one.
    std::string id;
    std::string service;
    /// `IP:port`.
    std::string address;
    std::string data_centre;
    /// Requests that it runs at once.
    std::uint32_t slots = 1;
    /// Announced its shutdown and takes no new work.
    bool draining = false;
    /// Unix time of its start in milliseconds; changes when it starts again under the same id.
    std::int64_t started_unix_ms = 0;
    /// Weight version by model.
    std::map<std::string, std::uint64_t> weights;

    bool operator==(upstream_record const&) const = default;
};

} // namespace savorymount::membership
