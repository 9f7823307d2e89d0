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
    /// Without a report for this long an instance counts as silent.
    /// FIXME: With 50 instances or more the reports come less often than this, so that all others
    ///        count as silent.
    base::duration silent_after = std::chrono::milliseconds(1000);
    /// A silent instance is forgotten after this long.
    base::duration remove_after = std::chrono::seconds(10);
};

/// Time between two reports of an instance. It grows with the number of instances, so that the
/// bytes of all reports grow with the number and not with its square.
base::duration report_interval(std::size_t instance_count);

/// The other instances: who they are, and which of them are heard of.
class peer_table
{
public:
    struct peer
    {
        /// `IP:port`, from the store or from its reports.
        std::string address;
        std::string incarnation;
        std::uint64_t sequence = 0;
        /// When it was last heard, or announced if it was not heard yet.
        base::time_point last_seen_at{};
        bool has_reported = false;
    };

    peer_table(std::string local_instance, peer_table_options options)
        : local_instance_(std::move(local_instance)), options_(options)
    {
    }

    /// The store names an instance.
    void register_peer(base::time_point now, std::string const& instance,
                       std::string const& incarnation, std::string const& address);

    /// Notes a report; false when it is the own one, or older than one that came before. An
    /// instance that leaves is forgotten at once.
    bool apply_report(base::time_point now, peer_report const& report);

    void remove_expired(base::time_point now);

    /// Number of instances, the own one included.
    std::size_t instance_count() const { return peers_.size() + 1; }
    std::size_t silent_count(base::time_point now) const;

    std::map<std::string, peer> const& peers() const { return peers_; }

private:
    std::string local_instance_;
    peer_table_options options_;
    std::map<std::string, peer> peers_;
    /// Incarnations that were forgotten by instance; the store goes on naming them.
    std::map<std::string, std::string> removed_incarnations_;
};

} // namespace savorymount::membership
