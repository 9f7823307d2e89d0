#pragma once

#include <savorymount/limits/lease_record.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace savorymount::limits
{

/// The newest accepted lease of a workspace.
struct lease_holder
{
    /// Empty after a clean release.
    std::string agent;
    std::string incarnation;
    /// Offset of the newest accepted record, which the next record must name as `previous`.
    std::uint64_t offset = 0;
    std::uint64_t fence = 0;
    /// True if no lease of this workspace can have existed before.
    bool first_ever = false;
    /// The offset that the record named as `previous`.
    std::uint64_t previous = 0;
    /// True if the lease that this one followed had been released.
    bool after_release = false;

    /// The holder's id in the instance list, `agent#incarnation`.
    std::string list_id() const { return agent + "#" + incarnation; }

    bool operator==(lease_holder const&) const = default;
};

/// Folds all lease records of the log: current holder and fencing token by workspace.
class lease_directory
{
public:
    /// Called with the oldest kept offset of each log read, before the read's records. Leases
    /// below it may have expired unseen.
    void log_starts_at(std::uint64_t first);

    /// Applies the record at `offset`, in log order. True if the record is accepted.
    bool apply(std::uint64_t offset, lease_record const& record);

    /// Takes over the fold of another reader (from a snapshot or a peer) if it is newer.
    void adopt(std::string const& workspace, lease_holder const& holder);

    /// Null if no lease of the workspace has been seen.
    lease_holder const* newest(std::string const& workspace) const;

    /// The newest fencing token of the workspace; 0 if none.
    std::uint64_t fence(std::string const& workspace) const;

    /// True if the log has been read from its very first record.
    bool complete() const { return complete_; }

private:
    bool acceptable(std::uint64_t offset, lease_record const& record) const;

    std::unordered_map<std::string, lease_holder> newest_;
    std::uint64_t first_ = 0;
    std::uint64_t applied_ = 0;
    bool complete_ = false;
};

} // namespace savorymount::limits
