#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/membership/instance.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace savorymount::membership
{

/// The platform's list of instances, combined with the state that heartbeats and responses report.
/// If the two differ, the state that excludes the instance applies: an incarnation that is leaving
/// stays so, a silent one is available again after its next message, and one that the list has
/// replaced by another never becomes current again. While the list is unavailable or stale, the
/// last one stays in use and messages update it.
class instance_directory
{
public:
    /// How long the state of an instance that is no longer listed is kept, so that an outdated list
    /// does not make it a candidate again.
    static constexpr base::duration retention = std::chrono::minutes(10);

    /// Applies a response of the list. An empty one counts as an outage and returns false, because
    /// the list contains at least the instance that requested it.
    bool apply_list(std::vector<instance> const& list, base::time_point now);

    /// Applies a heartbeat or any other message of an instance. An incarnation that is not listed
    /// yet becomes the current one of its instance. An instance that is not listed is no candidate,
    /// but its state is kept until the list contains it.
    void apply_message(instance_name const& from, bool leaving, base::time_point now);

    /// Marks an incarnation that has not responded within the silence limit or refuses connections.
    void mark_silent(instance_name const& name);

    /// Instances of the group that may get new requests, ordered by id: listed, neither leaving nor
    /// silent. The reference is valid until the next change.
    std::vector<instance> const& candidates(std::string const& group) const;

    /// All listed instances with the role, whatever their state, ordered by id.
    std::vector<instance> instances_with_role(std::string const& role) const;

    /// The current incarnation of the instance, if it is listed.
    std::optional<instance> find(std::string const& id) const;

    /// True if the incarnation is the current one of a listed instance and not silent, even if it
    /// is leaving.
    bool is_live(std::string const& id, std::string const& incarnation) const;

    /// True if the current incarnation of the instance is leaving, also if it is not listed.
    bool is_leaving(std::string const& id) const;

    /// Time of the last list that was applied.
    std::optional<base::time_point> last_list_time() const { return last_list_time_; }

    /// Time since which every applied list has lacked the incarnation, at the earliest that of the
    /// first list. No value if the last list contains it or no list was applied. Used to decide
    /// whether another instance may take over its leases.
    std::optional<base::time_point> absent_since(instance_name const& name) const;

    /// Changes whenever a result of the functions above may change, except list times.
    std::uint64_t revision() const { return revision_; }

private:
    struct incarnation_state
    {
        bool leaving = false;
        bool silent = false;
        bool replaced = false;
        /// Time of the first message or list that contained it.
        base::time_point first_seen_at;
    };
    struct tracked_instance
    {
        /// Entries of the last list; more than one while a new process replaces the old one.
        std::vector<instance> entries;
        std::string current;
        std::map<std::string, incarnation_state> incarnations;
        base::time_point updated_at;
    };

    incarnation_state& find_or_add_incarnation(tracked_instance& it, std::string const& incarnation,
                                               base::time_point now);
    bool apply_entries(tracked_instance& it, std::vector<instance> entries, base::time_point now);
    static bool should_become_current(tracked_instance const& it, std::string const& incarnation);
    void update_listed_names(std::vector<instance> const& list, base::time_point now);
    void remove_expired(base::time_point now);
    instance current_instance(tracked_instance const& it) const;
    void invalidate();

    std::map<std::string, tracked_instance> tracked_;
    std::set<instance_name> listed_names_;
    std::map<instance_name, base::time_point> unlisted_since_;
    std::optional<base::time_point> first_list_time_;
    std::optional<base::time_point> last_list_time_;
    std::uint64_t revision_ = 0;
    mutable std::unordered_map<std::string, std::vector<instance>> candidates_;
};

} // namespace savorymount::membership
