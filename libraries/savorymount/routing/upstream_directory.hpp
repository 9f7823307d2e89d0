#pragma once

#include <savorymount/routing/upstream_id.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savorymount::routing
{

/// Maps the names of upstreams to dense handles, so that the per-request state is arrays. A
/// released handle is reissued, and its holders must forget what they know about it at that moment.
class upstream_directory
{
public:
    /// The handle of `name`; issues the lowest free one for a new name.
    upstream_id intern(std::string const& name);

    /// The handle of a known name.
    std::optional<upstream_id> find(std::string const& name) const;

    /// The name behind a handle in use, else an empty string.
    std::string const& name(upstream_id id) const;

    /// Frees the handle.
    void release(upstream_id id);

    /// One more than the largest handle ever issued.
    std::size_t capacity() const { return names_.size(); }

private:
    std::unordered_map<std::string, upstream_id> ids_;
    std::vector<std::string> names_;
    std::vector<upstream_id> free_ids_;
};

} // namespace savorymount::routing
