#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/membership/instance.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace savorymount::membership
{

/// The platform's list of instances, merged with what heartbeats and answers say. Whatever is the
/// worse news about an incarnation counts: leaving is final, silence lasts until the next message,
/// and an incarnation that was replaced never comes back, even if a lagging list still names it.
class instance_directory
{
public:
    /// Takes an answer of the list. An answer without any instance counts as an outage: the list of
    /// a fleet that can ask for it is never empty. Returns false then.
    bool apply_list(std::vector<instance> const& list, base::time_point now);

    /// Takes a heartbeat or any other message of an instance. Names that the list has never shown
    /// are ignored until it does, except that the leaving state is kept.
    void hear(instance_name const& from, bool leaving, base::time_point now);

    /// Tells that the instance did not answer for the silence limit, or refuses connections.
    void fall_silent(instance_name const& name);

    /// Instances of the group that may get new work, ordered by id: listed, neither leaving nor
    /// silent. The reference is valid until the next change.
    std::vector<instance> const& candidates(std::string const& group) const;

    /// All instances with the role that are listed and not replaced, in any state, ordered by id.
    std::vector<instance> with_role(std::string const& role) const;

    /// The current incarnation of the instance, if it is listed.
    std::optional<instance> find(std::string const& id) const;

    /// True if that incarnation is listed, not replaced and not silent; it may be leaving.
    bool is_live(std::string const& id, std::string const& incarnation) const;

    bool is_leaving(std::string const& id) const;

    /// Time of the last list answer that was taken.
    std::optional<base::time_point> list_time() const { return list_time_; }

    /// When the last list that was taken first failed to show that incarnation; none while it does
    /// show it or before the first list. For takeovers of leases.
    std::optional<base::time_point> absent_since(instance_name const& name) const;

    /// Changes whenever the answer of `candidates` may change.
    std::uint64_t revision() const { return revision_; }

private:
    struct member
    {
        instance listed;
        std::string incarnation;
        bool leaving = false;
        bool silent = false;
    };

    void change();

    std::map<std::string, member> members_;
    std::uint64_t revision_ = 0;
    std::optional<base::time_point> list_time_;
    mutable std::unordered_map<std::string, std::vector<instance>> candidates_;
};

} // namespace savorymount::membership
