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

/// The platform's list of instances, merged with what heartbeats and answers say. The worse news
/// about an incarnation counts: leaving is final, silence lasts until its next message, and an
/// incarnation that the list has replaced by another never comes back. While the list is out or
/// frozen, the last one stays in use and messages decide.
class instance_directory
{
public:
    /// How long the state of an instance that is not listed any more is remembered, so that a list
    /// that steps back does not bring it back to work.
    static constexpr base::duration retention = std::chrono::minutes(10);

    /// Takes an answer of the list. An answer without any instance counts as an outage, because
    /// the list of a fleet that can ask for it is never empty; returns false then.
    bool apply_list(std::vector<instance> const& list, base::time_point now);

    /// Takes a heartbeat or any other message of an instance. A message of an incarnation that the
    /// list does not show yet makes it the current one. An instance that is not listed becomes no
    /// candidate, but its state is kept for the time when it is.
    void apply_message(instance_name const& from, bool leaving, base::time_point now);

    /// Tells that the incarnation did not answer for the silence limit or refuses connections.
    void mark_silent(instance_name const& name);

    /// Instances of the group that may get new work, ordered by id: listed, neither leaving nor
    /// silent. The reference is valid until the next change.
    std::vector<instance> const& candidates(std::string const& group) const;

    /// All listed instances with the role in any state, ordered by id.
    std::vector<instance> instances_with_role(std::string const& role) const;

    /// The current incarnation of the instance, if it is listed.
    std::optional<instance> find(std::string const& id) const;

    /// True if that incarnation is the current one of a listed instance and not silent. It may be
    /// leaving.
    bool is_live(std::string const& id, std::string const& incarnation) const;

    /// True if the current incarnation of the instance is leaving.
    bool is_leaving(std::string const& id) const;

    /// Time of the last list answer that was taken.
    std::optional<base::time_point> last_list_time() const { return last_list_time_; }

    /// Since when no list that was taken has shown that incarnation; at the earliest the first
    /// list. None if the last list shows it or there was none. For takeovers of leases.
    std::optional<base::time_point> absent_since(instance_name const& name) const;

    /// Changes whenever an answer of the functions above may change, list times apart.
    std::uint64_t revision() const { return revision_; }

private:
    struct incarnation_state
    {
        bool leaving = false;
        bool silent = false;
        bool replaced = false;
        /// When the first message or list named it.
        base::time_point first_seen_at;
    };
    struct tracked_instance
    {
        /// Entries of the last list; more than one while a replacement is under way.
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
