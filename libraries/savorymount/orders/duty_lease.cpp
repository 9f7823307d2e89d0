#include <savorymount/orders/duty_lease.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::orders
{

void duty_lease::observed(base::time_point now, std::optional<logged_lease> const& newest,
                          std::uint64_t end)
{
    // A read that was on its way while an append was accepted may be older than what is known.
    if (end_ && end < *end_)
        return;
    bool const first = !end_;
    end_ = end;
    auto const offset = newest ? std::optional(newest->offset) : std::nullopt;
    if (!first && offset == newest_offset_)
        return;
    newest_offset_ = offset;
    newest_ = newest ? std::optional(newest->record) : std::nullopt;
    seen_at_ = offset && offset == told_offset_ ? told_at_ : now;
    if (!newest_ || !own(*newest_))
    {
        held_since_.reset();
        pending_.reset();
        unanswered_since_.reset();
        return;
    }
    // An append without an answer is in the log after all; which one is unknown, so the earliest
    // one counts.
    if (unanswered_since_ && !newest_->released)
    {
        held_since_ = std::exchange(unanswered_since_, std::nullopt);
        held_fence_ = newest_->fence;
    }
}

void duty_lease::told(base::time_point now, std::uint64_t offset)
{
    if (told_offset_ && offset <= *told_offset_)
        return;
    told_offset_ = offset;
    told_at_ = now;
}

std::optional<lease_append> duty_lease::next(base::time_point now)
{
    if (!end_ || pending_)
        return std::nullopt;
    lease_record record{options_.instance, options_.incarnation, 1, false, {}};
    if (newest_)
    {
        bool const renews = own(*newest_) && !newest_->released;
        // This instance runs one process, so an earlier holder on it has ended.
        bool const earlier_self = newest_->holder == options_.instance && !renews;
        // Two holders never act within one lease, also after a release.
        bool const lapsed = now - seen_at_ > options_.lease + options_.margin - newest_->idle;
        if (renews && held_since_ && now - *held_since_ < options_.renewal)
            return std::nullopt;
        if (!renews && !earlier_self && !lapsed)
            return std::nullopt;
        record.fence = renews ? newest_->fence : newest_->fence + 1;
    }
    pending_ = lease_append{record, *end_};
    pending_since_ = now;
    return pending_;
}

void duty_lease::accepted(base::time_point now, std::uint64_t end)
{
    if (!pending_)
        return;
    newest_ = pending_->record;
    newest_offset_ = pending_->expected_end;
    end_ = std::max(end_.value_or(0), end);
    seen_at_ = now;
    if (newest_->released)
        held_since_.reset();
    else
        held_since_ = pending_since_;
    held_fence_ = newest_->fence;
    pending_.reset();
    unanswered_since_.reset();
}

void duty_lease::refused()
{
    pending_.reset();
    held_since_.reset();
}

void duty_lease::unanswered()
{
    if (!pending_)
        return;
    // The append may be sent again: its condition lets the log take only one of them.
    if (!unanswered_since_)
        unanswered_since_ = pending_since_;
    pending_.reset();
}

std::optional<std::uint64_t> duty_lease::fence(base::time_point now) const
{
    if (!held_since_ || now - *held_since_ > options_.lease - options_.margin)
        return std::nullopt;
    return held_fence_;
}

std::optional<lease_append> duty_lease::release(base::time_point now)
{
    if (!fence(now) || !end_)
        return std::nullopt;
    auto const idle = acted_at_ ? now - *acted_at_ : options_.lease + options_.margin;
    lease_record const record{options_.instance, options_.incarnation, held_fence_, true, idle};
    pending_ = lease_append{record, *end_};
    pending_since_ = now;
    held_since_.reset();
    return pending_;
}

bool duty_lease::own(lease_record const& record) const
{
    return record.holder == options_.instance && record.incarnation == options_.incarnation;
}

} // namespace savorymount::orders
