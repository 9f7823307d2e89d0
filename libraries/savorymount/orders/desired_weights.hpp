#pragma once

#include <savorymount/base/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace savorymount::orders
{

/// The weight versions that operators published for each model, and the earliest time at which each
/// can have been published.
class desired_weights
{
public:
    /// Records that operators published `version`, not before `not_before`. A newer version that is
    /// known stays the newest.
    void add_version(std::string const& model, std::uint64_t version, base::time_point not_before);

    /// The newest published version; 0 if there is none.
    std::uint64_t newest_version(std::string const& model) const;

    /// The newest published version of each model that has one.
    std::map<std::string, std::uint64_t> newest_versions() const;

    /// Earliest time at which the version after `version` can have been published; empty if no
    /// newer version is known.
    std::optional<base::time_point> superseded_since(std::string const& model,
                                                     std::uint64_t version) const;

private:
    /// The earliest time at which each known version can have been published, by model.
    std::map<std::string, std::map<std::uint64_t, base::time_point>> published_at_;
};

} // namespace savorymount::orders
