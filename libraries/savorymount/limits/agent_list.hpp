#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savorymount::limits
{

/// One read of the instance list, reduced to agents by their ids (`agent#incarnation`).
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

    /// The agent that should own the bucket of `workspace`: the first of its rendezvous order among
    /// the agents that are not leaving, without `skipped`. Empty if there is none.
    std::string preferred_owner(std::string_view workspace, std::string_view excluded = {}) const;

private:
    std::vector<entry> entries_;
    std::unordered_map<std::string, bool> by_id_;
};

} // namespace savorymount::limits
