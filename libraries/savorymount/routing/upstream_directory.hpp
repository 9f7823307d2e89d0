#pragma once

#include <savorymount/routing/upstream_id.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savorymount::routing
{

/// Maps upstream names to dense handles, so that state per upstream can be stored in arrays.
/// Released handles are reused: callers must drop all state of a handle when they release it.
class upstream_directory
{
public:
    /// Returns the handle of `name`; assigns the lowest free handle to a new name.
    upstream_id intern(std::string const& name);

    /// Returns the handle of `name`, or nothing if it has none.
    std::optional<upstream_id> find(std::string const& name) const;

    /// Returns the name of a handle in use, or an empty string.
    std::string const& name(upstream_id id) const;

    /// Makes the handle available for reuse.
    void release(upstream_id id);

    /// One more than the largest handle ever assigned.
    std::size_t capacity() const { return names_.size(); }

private:
    std::unordered_map<std::string, upstream_id> ids_;
    std::vector<std::string> names_;
    std::vector<upstream_id> free_ids_;
};

} // namespace savorymount::routing
