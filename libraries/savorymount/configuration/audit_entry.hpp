#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace savorymount::configuration
{

/// One change record of the log and its verdict.
struct audit_entry
{
    std::uint64_t offset = 0;
    /// Record id, chosen by the operator's tool.
    std::string id;
    /// Milliseconds since the Unix epoch, by the operator's clock.
    std::int64_t time_ms = 0;
    /// Who published the change. `operator` is a keyword.
    std::string operator_name;
    /// Version that the change was made against.
    std::uint64_t base = 0;
    bool accepted = false;
    /// Why the change was rejected; empty if it was accepted.
    std::string reason;
    /// Names of the changed documents; a removed one has a `-` in front.
    std::vector<std::string> documents;

    bool operator==(audit_entry const&) const = default;
};

} // namespace savorymount::configuration
