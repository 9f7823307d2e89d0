#pragma once

#include <savorymount/configuration/key_record.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::configuration
{

/// The contract with one customer: its keys, its rate and its burst.
struct workspace_contract
{
    std::string workspace;
    /// Refill of the workspace's token bucket, over all instances together.
    std::uint64_t rate_tokens_per_second = 0;
    /// Size of the workspace's token bucket.
    std::uint64_t burst_tokens = 0;
    /// Share in the fair queue relative to other workspaces.
    std::uint32_t weight = 1;
    /// Names of the routes that the workspace may use.
    std::vector<std::string> routes;
    std::vector<key_record> keys;

    bool operator==(workspace_contract const&) const = default;

    /// Whether the contract names `route`.
    bool allows(std::string const& route) const;
};

/// Fails with `invalid_input`; `path` is the document's name, such as `workspaces/counter`.
std::optional<workspace_contract>
parse_workspace_contract(nlohmann::json const& value, std::string const& path, base::error& reason);

} // namespace savorymount::configuration
