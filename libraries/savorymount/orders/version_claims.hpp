#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace savorymount::orders
{

/// The weight versions that engines answered with and that no record names. A version of a single
/// engine is not believed: all others would count as outdated for good.
class version_claims
{
public:
    /// Notes that the engine's process has `version`. Returns the newest version above
    /// `newest_known` that two processes have; empty if there is none.
    std::optional<std::uint64_t> add(std::string const& model, std::string const& process,
                                     std::uint64_t version, std::uint64_t newest_known);

private:
    /// The newest version of each process, by model. Only versions above the known ones are kept.
    std::map<std::string, std::map<std::string, std::uint64_t>> versions_;
};

} // namespace savorymount::orders
