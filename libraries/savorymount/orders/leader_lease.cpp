#include <savorymount/orders/leader_lease.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::orders
{

void leader_lease::on_log_read(base::time_point now, std::optional<lease_log_entry> const& newest,
                               std::uint64_t log_end)
{
    // A read that overlapped an accepted append may return an older state than the known one.
    if (log_end_ && log_end < *log_end_)
        return;
    bool const is_first_read = !log_end_;
    log_end_ = log_end;
    auto const offset = newest ? std::optional(newest->offset) : std::nullopt;
    if (!is_first_read && offset == newest_offset_)
        return;
    newest_offset_ = offset;
    newest_ = newest ? std::optional(newest->record) : std::nullopt;
    newest_seen_at_ = offset && offset == announced_offset_ ? announced_at_ : now;
    if (!newest_ || !is_own(*newest_))
    {
        held_since_.reset();
        pending_.reset();
        unknown_append_sent_at_.reset();
        return;
    }
    // An append without a response was accepted after all. It is unknown which one, so the lease
    // starts with the earliest.
    if (unknown_append_sent_at_ && !newest_->released)
    {
        held_since_ = std::exchange(unknown_append_sent_at_, std::nullopt);
        held_token_ = newest_->fencing_token;
    }
}

void leader_lease::on_leader_announced(base::time_point now, std::uint64_t offset)
{
    if (announced_offset_ && offset <= *announced_offset_)
        return;
    announced_offset_ = offset;
    announced_at_ = now;
}

std::optional<conditional_lease_append> leader_lease::next_append(base::time_point now)
{
    if (!log_end_ || pending_)
        return std::nullopt;
    leader_lease_record record{options_.instance, options_.incarnation, 1, false, {}};
    if (newest_)
    {
        bool const is_renewal = is_own(*newest_) && !newest_->released;
        // An instance runs one process at a time, so a previous one that held the lease has ended.
        bool const held_by_previous_process = newest_->holder == options_.instance && !is_renewal;
        // Two holders never act within one lease duration, not even after a release.
        bool const lease_expired = now - newest_seen_at_ > options_.lease_duration +
                                                               options_.safety_margin -
                                                               newest_->idle_before_release;
        if (is_renewal && held_since_ && now - *held_since_ < options_.renewal_interval)
            return std::nullopt;
        if (!is_renewal && !held_by_previous_process && !lease_expired)
            return std::nullopt;
        record.fencing_token = is_renewal ? newest_->fencing_token : newest_->fencing_token + 1;
    }
    pending_ = conditional_lease_append{record, *log_end_};
    pending_append_sent_at_ = now;
    return pending_;
}

void leader_lease::on_append_accepted(base::time_point now, std::uint64_t log_end)
{
    if (!pending_)
        return;
    newest_ = pending_->record;
    newest_offset_ = pending_->expected_end;
    log_end_ = std::max(log_end_.value_or(0), log_end);
    newest_seen_at_ = now;
    if (newest_->released)
        held_since_.reset();
    else
        held_since_ = pending_append_sent_at_;
    held_token_ = newest_->fencing_token;
    pending_.reset();
    unknown_append_sent_at_.reset();
}

void leader_lease::on_append_rejected()
{
    pending_.reset();
    held_since_.reset();
}

void leader_lease::on_append_outcome_unknown()
{
    if (!pending_)
        return;
    // The append can be sent again: its condition makes the log accept only one of them.
    if (!unknown_append_sent_at_)
        unknown_append_sent_at_ = pending_append_sent_at_;
    pending_.reset();
}

std::optional<std::uint64_t> leader_lease::fencing_token(base::time_point now) const
{
    if (!held_since_ || now - *held_since_ > options_.lease_duration - options_.safety_margin)
        return std::nullopt;
    return held_token_;
}

std::optional<conditional_lease_append> leader_lease::release(base::time_point now)
{
    if (!fencing_token(now) || !log_end_)
        return std::nullopt;
    auto const idle_before_release =
        last_action_at_ ? now - *last_action_at_ : options_.lease_duration + options_.safety_margin;
    leader_lease_record const record{options_.instance, options_.incarnation, held_token_, true,
                                     idle_before_release};
    pending_ = conditional_lease_append{record, *log_end_};
    pending_append_sent_at_ = now;
    held_since_.reset();
    return pending_;
}

bool leader_lease::is_own(leader_lease_record const& record) const
{
    return record.holder == options_.instance && record.incarnation == options_.incarnation;
}

} // namespace savorymount::orders
