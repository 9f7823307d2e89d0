#pragma once

#include <savorymount/base/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace savorymount::orders
{

/// The weight versions that operators published for each model, and when each became known.
class desired_weights
{
public:
    /// Records that operators published `version` at `now`, or at most `max_prior_age` earlier.
    void add_version(base::time_point now, std::string const& model, std::uint64_t version,
                     base::duration max_prior_age = base::duration::zero());

    /// The newest published version; 0 if there is none.
    std::uint64_t newest_version(std::string const& model) const;

    /// Estimated publication time of the version after `version`; empty if no newer version is
    /// known.
    std::optional<base::time_point> superseded_since(std::string const& model,
                                                     std::uint64_t version) const;

private:
    /// The earliest time at which each known version can have been published, by model.
    std::map<std::string, std::map<std::uint64_t, base::time_point>> published_at_;
};

} // namespace savorymount::orders
