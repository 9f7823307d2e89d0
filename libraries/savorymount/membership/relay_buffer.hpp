#pragma once

#include <savorymount/membership/peer_report.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace savorymount::membership
{

/// Collects the reports of one data centre for the others. Totals that did not change are left out
/// most of the time: they are cumulative, so a receiver misses nothing when a later report brings
/// them.
class relay_buffer
{
public:
    /// Adds a report of an instance of the data centre, or of the local one.
    void record(peer_report const& report);

    /// The reports of the instances that reported since the last call.
    std::vector<peer_report> take();

    /// The instance left; the other data centres learn that from itself.
    void forget(std::string const& instance) { entries_.erase(instance); }

    void clear() { entries_.clear(); }

private:
    struct entry
    {
        peer_report report;
        /// Number of the last call of `take` before each total changed, by workspace.
        std::map<std::string, std::uint64_t> changed_after;
        bool updated = false;
        std::uint64_t updated_after = 0;
    };

    peer_report make_report(entry& it) const;

    std::map<std::string, entry> entries_;
    std::uint64_t takes_ = 0;
};

} // namespace savorymount::membership
