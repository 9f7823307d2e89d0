#pragma once

#include <savorymount/base/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace savorymount::membership
{

/// An upstream's entry in the platform's list.
struct upstream_record
{
    /// Identifies the process; a restarted upstream usually gets a new id.
    std::string id;
    std::string service;
    /// `IP:port`.
    std::string address;
    std::string data_centre;
    /// Version of the program, not of its weights. What two versions write can't be joined.
    std::string software_version;
    /// Number of requests that it runs concurrently.
    std::uint32_t slots = 1;
    /// The upstream is shutting down and accepts no new requests.
    bool draining = false;
    /// Start time of the process in Unix milliseconds; differs after a restart with the same id.
    std::int64_t started_unix_ms = 0;
    /// Weight version by model.
    std::map<std::string, std::uint64_t> weights;

    bool operator==(upstream_record const&) const = default;
};

/// Whether the upstream has the software version; empty stands for any.
inline bool has_version(upstream_record const& upstream,
                        std::optional<std::string> const& software_version)
{
    return !software_version || upstream.software_version == *software_version;
}

/// Name of the upstream's process. It differs from that of a later process with the same id.
inline std::string process_name(upstream_record const& upstream)
{
    return upstream.id + "/" + std::to_string(upstream.started_unix_ms);
}

/// Id of the upstream whose process has this name.
inline std::string upstream_of(std::string const& process)
{
    return process.substr(0, process.rfind('/'));
}

} // namespace savorymount::membership
