#pragma once

#include <savorymount/limits/lease_record.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace savorymount::limits
{

/// The newest accepted lease of a workspace.
struct workspace_lease
{
    /// Empty after a clean release.
    std::string agent;
    std::string incarnation;
    /// Offset of the newest accepted record, which the next record must name as `previous`.
    std::uint64_t offset = 0;
    std::uint64_t fencing_token = 0;
    /// True if no lease of this workspace can have existed before.
    bool first_lease = false;
    /// The offset that the record named as `previous`.
    std::uint64_t previous = 0;
    /// True if the lease that this one followed had been released.
    bool follows_release = false;
    /// After a clean release, the list id of the holder that released.
    std::string released_by{};

    /// The holder's id in the instance list, `agent#incarnation`.
    std::string list_entry_id() const { return agent + "#" + incarnation; }

    bool operator==(workspace_lease const&) const = default;
};

/// Folds all lease records of the log: current holder and fencing token by workspace.
class lease_directory
{
public:
    /// Called for each log read that started at offset `from`, before the read's records, with the
    /// oldest offset that the log keeps. Leases below it are forgotten, since a reader that
    /// starts now can't know them either; fencing tokens are kept.
    void begin_read(std::uint64_t first_offset, std::uint64_t oldest_kept_offset);

    /// Applies the record at `offset`, in log order. True if the record is accepted.
    bool apply(std::uint64_t offset, lease_record const& record);

    /// Null if no lease of the workspace has been seen.
    workspace_lease const* newest_lease(std::string const& workspace) const;

    /// The newest fencing token of the workspace; 0 if none.
    std::uint64_t fencing_token(std::string const& workspace) const;

    /// True if every record since the log's first one has been read.
    bool covers_whole_log() const { return covers_whole_log_; }

private:
    workspace_lease const* find(std::string const& workspace) const;

    std::unordered_map<std::string, workspace_lease> newest_leases_;
    std::unordered_map<std::string, std::uint64_t> newest_tokens_;
    std::uint64_t oldest_kept_offset_ = 0;
    std::uint64_t last_applied_offset_ = 0;
    bool reading_started_ = false;
    bool covers_whole_log_ = false;
};

} // namespace savorymount::limits
