#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/membership/peer_report.hpp>

#include <cstddef>
#include <map>
#include <string>

namespace savorymount::membership
{

struct peer_roster_options
{
    /// Without a report for this long an instance counts as silent.
    /// FIXME: With 50 instances or more the reports come less often than this, so that all others
    ///        count as silent.
    base::duration silence = std::chrono::milliseconds(1000);
    /// A silent instance is forgotten after this long.
    base::duration forget = std::chrono::seconds(10);
};

/// Time between two reports of an instance. It grows with the number of instances, so that the
/// bytes of all reports grow with the number and not with its square.
base::duration report_interval(std::size_t instances);

/// The other instances: who they are, and which of them are heard of.
class peer_roster
{
public:
    struct peer
    {
        /// `IP:port`, from the store or from its reports.
        std::string address;
        std::string incarnation;
        std::uint64_t sequence = 0;
        /// When it was last heard, or announced if it was not heard yet.
        base::time_point heard_at{};
        bool heard = false;
    };

    peer_roster(std::string own_instance, peer_roster_options options)
        : own_instance_(std::move(own_instance)), options_(options)
    {
    }

    /// The store names an instance.
    void announced(base::time_point now, std::string const& instance,
                   std::string const& incarnation, std::string const& address);

    /// Notes a report; false when it is the own one, or older than one that came before. An
    /// instance that leaves is forgotten at once.
    bool heard(base::time_point now, peer_report const& report);

    void expire(base::time_point now);

    /// Number of instances, the own one included.
    std::size_t instances() const { return peers_.size() + 1; }
    std::size_t silent(base::time_point now) const;

    std::map<std::string, peer> const& peers() const { return peers_; }

private:
    std::string own_instance_;
    peer_roster_options options_;
    std::map<std::string, peer> peers_;
    /// Incarnations that were forgotten by instance; the store goes on naming them.
    std::map<std::string, std::string> forgotten_;
};

} // namespace savorymount::membership
