#pragma once

#include <savorymount/base/time.hpp>

#include <cstdint>

namespace savorymount::limits
{

/// Tokens that the owner of a bucket granted to an agent.
struct token_grant
{
    /// Unique per owner and fencing token.
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;
    /// Measured by the agent's clock from before it sent the request for the grant.
    base::duration lifetime{};
    std::uint64_t fencing_token = 0;

    bool operator==(token_grant const&) const = default;
};

} // namespace savorymount::limits
