#include <savorymount/limits/lease_directory.hpp>

#include <algorithm>

namespace savorymount::limits
{

void lease_directory::begin_read(std::uint64_t from, std::uint64_t first_kept)
{
    auto const nothing_skipped = first_kept <= std::max<std::uint64_t>(from, 1);
    if (!started_)
        complete_ = from <= 1 && nothing_skipped;
    started_ = true;
    complete_ = complete_ && nothing_skipped;
    first_kept_ = std::max(first_kept_, first_kept);
}

bool lease_directory::apply(std::uint64_t offset, lease_record const& record)
{
    // A record may be read twice when a read is repeated.
    if (offset <= applied_)
        return false;
    applied_ = offset;
    auto const* const current = find(record.workspace);
    lease_holder next{record.agent, record.incarnation, offset, offset,
                      false,        record.previous,    false};
    if (current != nullptr)
    {
        if (record.previous != current->offset)
            return false;
        auto const same_holder = !record.agent.empty() && record.agent == current->agent &&
                                 record.incarnation == current->incarnation;
        if (record.fence != 0 && !(same_holder && record.fence == current->fence))
            return false;
        next.after_release = current->agent.empty();
        if (record.agent.empty() && !current->agent.empty())
            next.released_by = current->list_id();
        if (record.fence != 0)
        {
            next.fence = current->fence;
            next.first_ever = current->first_ever;
            next.after_release = current->after_release;
        }
    }
    else
    {
        // The lease that `previous` names may have expired from the log. If it has not, it was
        // read and is not an accepted one.
        if (record.previous != 0 && record.previous >= first_kept_)
            return false;
        next.first_ever = complete_ && record.previous == 0 && fence(record.workspace) == 0;
        if (record.fence != 0)
            next.fence = record.fence;
    }
    newest_[record.workspace] = next;
    auto& newest_fence = fences_[record.workspace];
    newest_fence = std::max(newest_fence, next.fence);
    return true;
}

lease_holder const* lease_directory::newest(std::string const& workspace) const
{
    return find(workspace);
}

std::uint64_t lease_directory::fence(std::string const& workspace) const
{
    auto const found = fences_.find(workspace);
    return found == fences_.end() ? 0 : found->second;
}

lease_holder const* lease_directory::find(std::string const& workspace) const
{
    auto const found = newest_.find(workspace);
    if (found == newest_.end() || found->second.offset < first_kept_)
        return nullptr;
    return &found->second;
}

} // namespace savorymount::limits
