#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/membership/peer_report.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace savorymount::membership
{

struct peer_table_options
{
    std::string local_data_centre;
    std::uint32_t local_relay_weight = 0;
    /// An instance counts as silent if its last report is older than this, or than the time in
    /// which several reports should have arrived, if that is longer.
    base::duration silent_after = std::chrono::milliseconds(1000);
    /// An instance is removed if its last report is older than this.
    base::duration remove_after = std::chrono::seconds(10);
};

/// Time between two reports of an instance. It is proportional to the number of instances, so that
/// the total traffic of all reports grows linearly with that number instead of with its square.
base::duration report_interval(std::size_t instance_count);

/// Time between two exchanges of reports between data centres.
inline constexpr base::duration relay_interval = std::chrono::milliseconds(500);

/// The other instances of the gateway, with their addresses and the times of their last reports.
class peer_table
{
public:
    struct peer
    {
        /// `IP:port`, from the store or the peer's own reports.
        std::string address;
        std::string incarnation;
        /// Empty if it is not known.
        std::string data_centre;
        std::uint32_t relay_weight = 0;
        /// Of the last report, and of the last one that was not partial.
        std::uint64_t sequence = 0;
        std::uint64_t full_sequence = 0;
        /// Time of the last report, or of the registration if there was none yet.
        base::time_point last_seen_at{};
        bool has_reported = false;
    };

    peer_table(std::string local_instance, peer_table_options options)
        : local_instance_(std::move(local_instance)), options_(std::move(options))
    {
        ++group_sizes_[options_.local_data_centre];
    }

    /// Adds an instance that the store lists. An incarnation that was removed is not added again.
    void register_peer(base::time_point now, std::string const& instance,
                       std::string const& incarnation, std::string const& address,
                       std::string const& data_centre = {});

    /// Applies a report. Returns false if the local instance sent it, or if the same or a newer
    /// report has already arrived. An instance that reports its shutdown is removed immediately.
    bool apply_report(base::time_point now, peer_report const& report);

    /// The local process did not run for a while and may have missed reports. All instances count
    /// as silent until their next report, and none is removed for the silence so far.
    void process_resumed(base::time_point now);

    /// Removes the instances whose last report is older than `remove_after`.
    void remove_expired(base::time_point now);

    /// Number of instances, including the local one.
    std::size_t instance_count() const { return peers_.size() + 1; }
    /// Changes whenever an instance is added or removed.
    std::uint64_t change_count() const { return change_count_; }
    /// Names of all instances, the local one included.
    std::vector<std::string> instance_names() const;
    std::size_t silent_count(base::time_point now) const;
    bool is_silent(base::time_point now, peer const& it) const;

    std::string const& local_instance() const { return local_instance_; }
    std::string const& local_data_centre() const { return options_.local_data_centre; }
    std::uint32_t local_relay_weight() const { return options_.local_relay_weight; }
    /// Whether the peer is in another data centre.
    bool is_remote(peer const& it) const;
    /// Whether the deployment is so large that reports between data centres pass through relays.
    bool uses_relays() const;
    /// Time between two reports of the local instance.
    base::duration local_report_interval() const;
    /// Number of instances that report directly to the local one, itself included.
    std::size_t direct_count() const { return report_group_size(options_.local_data_centre); }
    /// Time until all instances have a report of the local one.
    base::duration report_delay() const;

    using peer_map = std::map<std::string, peer>;
    peer_map const& peers() const { return peers_; }

private:
    /// Number of instances that get the reports of an instance of the data centre directly.
    std::size_t report_group_size(std::string const& data_centre) const;
    // Every change of `peers_` or of a data centre goes through these; they keep `group_sizes_`.
    peer& find_or_add(std::string const& instance);
    void move_to_group(peer& it, std::string const& data_centre);
    peer_map::iterator remove(peer_map::iterator position);
    void leave_group(peer const& it);

    std::string local_instance_;
    peer_table_options options_;
    peer_map peers_;
    /// Last incarnation that reported its shutdown, by instance. Relayed reports of it may follow.
    std::map<std::string, std::string> left_incarnations_;
    /// Last removed incarnation by instance, because the store continues to list it.
    std::map<std::string, std::string> removed_incarnations_;
    /// Number of instances by data centre, including the local one; never zero.
    std::map<std::string, std::size_t> group_sizes_;
    std::uint64_t change_count_ = 0;
};

} // namespace savorymount::membership
