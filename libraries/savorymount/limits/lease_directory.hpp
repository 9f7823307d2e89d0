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
    /// After a clean release, the list id of the holder that released.
    std::string released_by{};

    /// The holder's id in the instance list, `agent#incarnation`.
    std::string list_id() const { return agent + "#" + incarnation; }

    bool operator==(lease_holder const&) const = default;
};

/// Folds all lease records of the log: current holder and fencing token by workspace.
class lease_directory
{
public:
    /// Called for each log read that started at offset `from`, before the read's records, with the
    /// oldest offset that the log keeps. Leases below it are forgotten, since a reader that
    /// starts now can't know them either; fencing tokens are kept.
    void begin_read(std::uint64_t from, std::uint64_t first_kept);

    /// Applies the record at `offset`, in log order. True if the record is accepted.
    bool apply(std::uint64_t offset, lease_record const& record);

    /// Null if no lease of the workspace has been seen.
    lease_holder const* newest(std::string const& workspace) const;

    /// The newest fencing token of the workspace; 0 if none.
    std::uint64_t fence(std::string const& workspace) const;

    /// True if every record since the log's first one has been read.
    bool complete() const { return complete_; }

private:
    lease_holder const* find(std::string const& workspace) const;

    std::unordered_map<std::string, lease_holder> newest_;
    std::unordered_map<std::string, std::uint64_t> fences_;
    std::uint64_t first_kept_ = 0;
    std::uint64_t applied_ = 0;
    bool started_ = false;
    bool complete_ = false;
};

} // namespace savorymount::limits
