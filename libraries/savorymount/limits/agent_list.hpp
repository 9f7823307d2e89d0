#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savorymount::limits
{

/// The agents in one response of the instance list, by id (`agent#incarnation`).
class agent_list
{
public:
    struct entry
    {
        std::string id;
        bool leaving = false;

        bool operator==(entry const&) const = default;
    };

    agent_list() = default;
    explicit agent_list(std::vector<entry> entries);

    bool contains(std::string const& id) const { return by_id_.count(id) != 0; }

    /// The agent that should own the bucket of `workspace`: the first in rendezvous hashing order,
    /// without agents that are leaving and without `excluded`. Empty if there is none.
    std::string preferred_owner(std::string_view workspace, std::string_view excluded = {}) const;

private:
    std::vector<entry> entries_;
    std::unordered_map<std::string, bool> by_id_;
};

} // namespace savorymount::limits
