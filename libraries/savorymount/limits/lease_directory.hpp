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
    /// Empty if the lease was released.
    std::string agent;
    std::string incarnation;
    /// Offset of the newest accepted record, which the next record must name as `previous`.
    std::uint64_t offset = 0;
    std::uint64_t fencing_token = 0;
    /// True if no lease of this workspace can have existed before.
    bool first_lease = false;
    /// The `previous` offset of the record.
    std::uint64_t previous = 0;
    /// True if the preceding lease was released.
    bool follows_release = false;
    /// If the lease was released, the list entry id of the holder that released it.
    std::string released_by{};

    /// The holder's id in the instance list, `agent#incarnation`.
    std::string list_entry_id() const { return agent + "#" + incarnation; }

    bool operator==(workspace_lease const&) const = default;
};

/// Current lease and newest fencing token of each workspace, built from the lease records of the
/// log.
class lease_directory
{
public:
    /// Starts a log read from `first_offset`, before its records are applied. `oldest_kept_offset`
    /// is the oldest offset in the log. Leases below it are dropped, since a reader that starts now
    /// cannot know them; fencing tokens are kept.
    void begin_read(std::uint64_t first_offset, std::uint64_t oldest_kept_offset);

    /// Applies the record at `offset`, in log order. Returns true if the record is accepted.
    bool apply(std::uint64_t offset, lease_record const& record);

    /// Null if no lease of the workspace was read.
    workspace_lease const* newest_lease(std::string const& workspace) const;

    /// The newest fencing token of the workspace; 0 if there is none.
    std::uint64_t fencing_token(std::string const& workspace) const;

    /// True if every record since the start of the log was read.
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
