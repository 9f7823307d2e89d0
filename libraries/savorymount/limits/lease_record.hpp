#pragma once

#include <savorymount/base/error.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace savorymount::limits
{

/// A lease record in the platform's log. An empty agent releases the lease.
struct lease_record
{
    std::string workspace;
    std::string agent;
    std::string incarnation;
    /// Offset of the newest accepted lease record when this one was written; 0 for the first.
    std::uint64_t previous = 0;
    /// In a renewal, the holder's fencing token, which stays valid; 0 in other records.
    std::uint64_t fencing_token = 0;

    bool operator==(lease_record const&) const = default;
};

/// Parses the body of a log record with `"kind":"lease"`.
std::optional<lease_record> parse_lease_record(nlohmann::json const& body, base::error& reason);

nlohmann::json to_json(lease_record const& record);

} // namespace savorymount::limits
