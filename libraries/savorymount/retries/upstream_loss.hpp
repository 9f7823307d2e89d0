#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace savorymount::retries
{

/// A request was running on an upstream when the upstream's connection was lost.
struct upstream_loss
{
    /// Process of the upstream; another one after a restart.
    std::string upstream;
    /// Digest that identifies the request.
    std::uint64_t request = 0;
    /// Digests of the prompt parts that the request may share with others, sorted.
    std::vector<std::uint64_t> parts;

    bool operator==(upstream_loss const&) const = default;
};

} // namespace savorymount::retries
