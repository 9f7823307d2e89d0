#include <savorymount/orders/leader_lease.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::orders
{
namespace
{

// Far above the number of leaders in one era, and small enough for a JSON number in any era.
constexpr std::uint64_t tokens_per_era = 1'000'000;

/// Fencing tokens of the era are larger.
std::uint64_t token_base(std::uint64_t era)
{
    return era <= first_log_era ? 0 : (era - first_log_era) * tokens_per_era;
}

} // namespace

void leader_lease::on_log_read(base::time_point now, std::optional<lease_log_entry> const& newest,
                               std::uint64_t log_end, std::uint64_t era)
{
    if (era < era_)
        return;
    if (era > era_)
        begin_era(now, era);
    // A read that overlapped an accepted append may return an older state than the known one.
    if (log_end_ && log_end < *log_end_)
        return;
    bool const is_first_read = !log_end_;
    log_end_ = log_end;
    // A record of an earlier era says nothing of what followed it there.
    bool const is_current = newest && newest->record.fencing_token > token_base(era_);
    auto const offset = is_current ? std::optional(newest->offset) : std::nullopt;
    if (offset == newest_offset_ && (!is_first_read || !offset))
        return;
    newest_offset_ = offset;
    newest_ = is_current ? std::optional(newest->record) : std::nullopt;
    bool const was_announced = offset == announced_offset_ && announced_era_ == era_;
    newest_seen_at_ = offset && was_announced ? announced_at_ : now;
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

void leader_lease::begin_era(base::time_point now, std::uint64_t era)
{
    era_ = era;
    era_seen_at_ = now;
    newest_.reset();
    newest_offset_.reset();
    log_end_.reset();
    pending_.reset();
    unknown_append_sent_at_.reset();
}

bool leader_lease::may_be_held_without_record(base::time_point now) const
{
    return era_seen_at_ && !fencing_token(now) &&
           now - *era_seen_at_ <= options_.lease_duration + options_.safety_margin;
}

void leader_lease::on_leader_announced(base::time_point now, std::uint64_t offset,
                                       std::uint64_t era)
{
    bool const is_newer =
        era > announced_era_ || (era == announced_era_ && offset > announced_offset_.value_or(0));
    if (announced_offset_ && !is_newer)
        return;
    announced_offset_ = offset;
    announced_era_ = era;
    announced_at_ = now;
}

std::optional<conditional_lease_append> leader_lease::next_append(base::time_point now)
{
    if (!log_end_ || pending_ || (!newest_ && may_be_held_without_record(now)))
        return std::nullopt;
    leader_lease_record record{
        options_.instance, options_.incarnation, token_base(era_) + 1, false, {}};
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

void leader_lease::on_other_append_accepted(std::uint64_t expected_end, std::uint64_t log_end)
{
    if (log_end_ == expected_end && !pending_)
        log_end_ = log_end;
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
