#pragma once

#include <savorymount/base/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace savorymount::orders
{

/// The weight versions that operators named for each model, and since when they are known.
class desired_weights
{
public:
    /// Notes that operators named `version`. `max_prior_age` is how long it may have been
    /// named before this instance heard of it.
    void add_version(base::time_point now, std::string const& model, std::uint64_t version,
                     base::duration max_prior_age = base::duration::zero());

    /// The newest version; 0 when none was named.
    std::uint64_t newest_version(std::string const& model) const;

    /// Since when a version newer than `version` is named, at the latest; empty when none is.
    std::optional<base::time_point> superseded_since(std::string const& model,
                                                     std::uint64_t version) const;

private:
    /// When each version was first heard of, by model.
    std::map<std::string, std::map<std::uint64_t, base::time_point>> first_seen_;
};

} // namespace savorymount::orders
