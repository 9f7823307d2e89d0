#include <savorymount/limits/lease_directory.hpp>

#include <algorithm>

namespace savorymount::limits
{

void lease_directory::begin_read(std::uint64_t first_offset, std::uint64_t oldest_kept_offset)
{
    auto const no_record_missed = oldest_kept_offset <= std::max<std::uint64_t>(first_offset, 1);
    if (!reading_started_)
        covers_whole_log_ = first_offset <= 1 && no_record_missed;
    reading_started_ = true;
    covers_whole_log_ = covers_whole_log_ && no_record_missed;
    oldest_kept_offset_ = std::max(oldest_kept_offset_, oldest_kept_offset);
}

bool lease_directory::apply(std::uint64_t offset, lease_record const& record)
{
    // A repeated read returns the same records again.
    if (offset <= last_applied_offset_)
        return false;
    last_applied_offset_ = offset;
    auto const* const current = find(record.workspace);
    workspace_lease next{record.agent, record.incarnation, offset, offset,
                         false,        record.previous,    false};
    if (current != nullptr)
    {
        if (record.previous != current->offset)
            return false;
        auto const same_holder = !record.agent.empty() && record.agent == current->agent &&
                                 record.incarnation == current->incarnation;
        if (record.fencing_token != 0 &&
            !(same_holder && record.fencing_token == current->fencing_token))
            return false;
        next.follows_release = current->agent.empty();
        if (record.agent.empty() && !current->agent.empty())
            next.released_by = current->list_entry_id();
        if (record.fencing_token != 0)
        {
            next.fencing_token = current->fencing_token;
            next.first_lease = current->first_lease;
            next.follows_release = current->follows_release;
        }
    }
    else
    {
        // A record that names an offset still in the log would follow a lease that was read; since
        // there is no such lease, the record is rejected. An older offset may be that of a lease
        // that has expired from the log.
        if (record.previous != 0 && record.previous >= oldest_kept_offset_)
            return false;
        next.first_lease =
            covers_whole_log_ && record.previous == 0 && fencing_token(record.workspace) == 0;
        if (record.fencing_token != 0)
            next.fencing_token = record.fencing_token;
    }
    newest_leases_[record.workspace] = next;
    auto& newest_token = newest_tokens_[record.workspace];
    newest_token = std::max(newest_token, next.fencing_token);
    return true;
}

workspace_lease const* lease_directory::newest_lease(std::string const& workspace) const
{
    return find(workspace);
}

std::uint64_t lease_directory::fencing_token(std::string const& workspace) const
{
    auto const found = newest_tokens_.find(workspace);
    return found == newest_tokens_.end() ? 0 : found->second;
}

workspace_lease const* lease_directory::find(std::string const& workspace) const
{
    auto const found = newest_leases_.find(workspace);
    if (found == newest_leases_.end() || found->second.offset < oldest_kept_offset_)
        return nullptr;
    return &found->second;
}

} // namespace savorymount::limits
