#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/membership/peer_report.hpp>

#include <cstddef>
#include <map>
#include <string>

namespace savorymount::membership
{

struct peer_table_options
{
    /// An instance counts as silent if its last report is older than this.
    /// FIXME: With 50 instances or more the report interval exceeds this, so that all other
    ///        instances count as silent.
    base::duration silent_after = std::chrono::milliseconds(1000);
    /// An instance is removed if its last report is older than this.
    base::duration remove_after = std::chrono::seconds(10);
};

/// Time between two reports of an instance. It is proportional to the number of instances, so that
/// the total traffic of all reports grows linearly with that number instead of with its square.
base::duration report_interval(std::size_t instance_count);

/// The other instances of the gateway, with their addresses and the times of their last reports.
class peer_table
{
public:
    struct peer
    {
        /// `IP:port`, from the store or the peer's own reports.
        std::string address;
        std::string incarnation;
        std::uint64_t sequence = 0;
        /// Time of the last report, or of the registration if there was none yet.
        base::time_point last_seen_at{};
        bool has_reported = false;
    };

    peer_table(std::string local_instance, peer_table_options options)
        : local_instance_(std::move(local_instance)), options_(options)
    {
    }

    /// Adds an instance that the store lists. An incarnation that was removed is not added again.
    void register_peer(base::time_point now, std::string const& instance,
                       std::string const& incarnation, std::string const& address);

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
    std::size_t silent_count(base::time_point now) const;

    std::map<std::string, peer> const& peers() const { return peers_; }

private:
    std::string local_instance_;
    peer_table_options options_;
    std::map<std::string, peer> peers_;
    /// Last removed incarnation by instance, because the store continues to list it.
    std::map<std::string, std::string> removed_incarnations_;
};

} // namespace savorymount::membership
