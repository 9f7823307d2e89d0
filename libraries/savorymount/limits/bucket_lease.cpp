#include <savorymount/limits/bucket_lease.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::limits
{

bucket_lease::bucket_lease(std::string workspace, std::string agent, std::string incarnation,
                           limit_timing timing, base::duration renewal_interval,
                           base::duration retry_delay)
    : workspace_(std::move(workspace)), agent_(std::move(agent)),
      incarnation_(std::move(incarnation)), timing_(timing), renewal_interval_(renewal_interval),
      retry_delay_(retry_delay)
{
}

std::vector<lease_action> bucket_lease::on_log_records(base::time_point now,
                                                       lease_directory const& directory)
{
    std::vector<lease_action> out;
    update_from_log(now, directory, out);
    return out;
}

std::vector<lease_action> bucket_lease::on_log_read(base::time_point now, base::time_point sent,
                                                    lease_directory const& directory)
{
    std::vector<lease_action> out;
    update_from_log(now, directory, out);
    log_read_sent_ = log_read_sent_ ? std::max(*log_read_sent_, sent) : sent;
    if (missing_from_list_at_ && sent >= *missing_from_list_at_)
        missing_from_list_at_.reset();
    update_phase(now, out);
    return out;
}

std::vector<lease_action> bucket_lease::on_list_read(base::time_point now, base::time_point sent,
                                                     agent_list const& list)
{
    std::vector<lease_action> out;
    auto const reads_too_far_apart =
        !list_read_sent_ || sent - *list_read_sent_ > timing_.confirmation_lifetime;
    list_read_sent_ = sent;
    update_list_confirmation(now, sent, list);
    update_holder_absence(now, list, reads_too_far_apart);
    auto const takeover_possible =
        !newest_lease_ || newest_lease_->agent.empty() || !absent_holder_id_.empty();
    // Rendezvous hashing computes a digest per agent, so it runs only when a takeover is possible.
    // The list may still show an agent that has released its lease as running.
    auto const excluded = newest_lease_ ? newest_lease_->released_by : std::string();
    is_preferred_owner_ = fencing_token_ == 0 && !leaving_ && takeover_possible &&
                          list.preferred_owner(workspace_, excluded) == local_list_entry_id();
    update_phase(now, out);
    return out;
}

std::vector<lease_action> bucket_lease::on_append_finished(base::time_point now,
                                                           std::string const& id, bool appended)
{
    std::vector<lease_action> out;
    if (!appending_ || id != append_id_)
        return out;
    appending_ = false;
    // An appended record takes effect with the next log read; another append before that would only
    // be rejected.
    next_append_at_ = now + (appended ? timing_.confirmation_lifetime : retry_delay_);
    update_phase(now, out);
    return out;
}

std::vector<lease_action> bucket_lease::tick(base::time_point now)
{
    std::vector<lease_action> out;
    update_phase(now, out);
    return out;
}

std::vector<lease_action> bucket_lease::leave(base::time_point now)
{
    std::vector<lease_action> out;
    leaving_ = true;
    is_preferred_owner_ = false;
    if (phase_ == phase::granting || phase_ == phase::unconfirmed)
        out.emplace_back(stop_granting{fencing_token_, false});
    // This agent granted nothing while it waited.
    if (phase_ == phase::waiting)
        grants_expired_ = true;
    update_phase(now, out);
    return out;
}

std::vector<lease_action> bucket_lease::on_grants_expired(base::time_point now)
{
    std::vector<lease_action> out;
    grants_expired_ = leaving_;
    update_phase(now, out);
    return out;
}

bool bucket_lease::may_grant(base::time_point now) const
{
    return phase_ == phase::granting && !leaving_ && is_confirmed(now);
}

bool bucket_lease::released() const
{
    return fencing_token_ == 0 && !appending_;
}

void bucket_lease::update_from_log(base::time_point now, lease_directory const& directory,
                                   std::vector<lease_action>& out)
{
    auto const* const newest = directory.newest_lease(workspace_);
    newest_lease_ = newest == nullptr ? std::nullopt : std::optional(*newest);
    auto const held_locally = newest_lease_ && newest_lease_->agent == agent_ &&
                              newest_lease_->incarnation == incarnation_;
    if (fencing_token_ != 0 && !(held_locally && newest_lease_->fencing_token == fencing_token_))
        lose_lease(out);
    if (!held_locally)
        return;
    if (fencing_token_ == 0)
        become_holder(now);
    if (renewed_offset_ == newest_lease_->offset)
        return;
    renewed_offset_ = newest_lease_->offset;
    renewed_at_ = now;
    // The record in the log proves that the append succeeded, even if its response was lost.
    appending_ = false;
}

void bucket_lease::become_holder(base::time_point now)
{
    fencing_token_ = newest_lease_->fencing_token;
    is_preferred_owner_ = false;
    start_full_ = newest_lease_->first_lease;
    auto const no_old_grants = newest_lease_->first_lease || newest_lease_->follows_release;
    granting_starts_at_ = no_old_grants ? now : now + timing_.takeover_wait();
    phase_ = phase::waiting;
}

void bucket_lease::lose_lease(std::vector<lease_action>& out)
{
    if (!leaving_ && (phase_ == phase::granting || phase_ == phase::unconfirmed))
        out.emplace_back(stop_granting{fencing_token_, false});
    fencing_token_ = 0;
    phase_ = phase::not_holding;
    appending_ = false;
    list_confirmation_sent_.reset();
}

void bucket_lease::update_list_confirmation(base::time_point now, base::time_point sent,
                                            agent_list const& list)
{
    if (!list.contains(local_list_entry_id()))
    {
        // Another agent may already have seen this agent missing for long enough to take over, so
        // later list reads confirm nothing until the log shows that no agent did.
        missing_from_list_at_ = now;
        list_confirmation_sent_.reset();
        return;
    }
    if (!missing_from_list_at_)
        list_confirmation_sent_ = sent;
}

void bucket_lease::update_holder_absence(base::time_point now, agent_list const& list,
                                         bool reads_too_far_apart)
{
    auto const held_by_other =
        newest_lease_ && !newest_lease_->agent.empty() && fencing_token_ == 0;
    if (!held_by_other || list.contains(newest_lease_->list_entry_id()))
    {
        absent_holder_id_.clear();
        return;
    }
    // The holder may have been listed in between two reads that are far apart.
    if (!reads_too_far_apart && absent_holder_id_ == newest_lease_->list_entry_id())
        return;
    absent_holder_id_ = newest_lease_->list_entry_id();
    holder_absent_since_ = now;
}

void bucket_lease::update_phase(base::time_point now, std::vector<lease_action>& out)
{
    if (!leaving_)
    {
        auto const confirmed = is_confirmed(now);
        if (phase_ == phase::granting && !confirmed)
        {
            phase_ = phase::unconfirmed;
            out.emplace_back(stop_granting{fencing_token_, true});
        }
        else if (phase_ == phase::unconfirmed && confirmed)
        {
            phase_ = phase::granting;
            out.emplace_back(resume_granting{fencing_token_});
        }
        else if (phase_ == phase::waiting && now >= granting_starts_at_ && confirmed)
        {
            phase_ = phase::granting;
            out.emplace_back(start_granting{fencing_token_, start_full_});
        }
    }
    append_if_needed(now, out);
}

void bucket_lease::append_if_needed(base::time_point now, std::vector<lease_action>& out)
{
    // The record must name the newest lease, so it is appended only after a recent log read.
    if (appending_ || now < next_append_at_ || !log_read_sent_ ||
        now - *log_read_sent_ >= timing_.confirmation_lifetime)
        return;
    auto const record = next_record(now);
    if (!record)
        return;
    appending_ = true;
    append_id_ = local_list_entry_id() + "/" + workspace_ + "/" + std::to_string(++append_count_);
    out.emplace_back(append_lease{append_id_, *record});
}

std::optional<lease_record> bucket_lease::next_record(base::time_point now) const
{
    auto const previous = newest_lease_ ? newest_lease_->offset : 0;
    if (fencing_token_ != 0)
    {
        // After a release the next owner starts without waiting, so this agent must have completed
        // its own waiting time.
        if (leaving_ && grants_expired_ && now >= granting_starts_at_)
            return lease_record{workspace_, "", incarnation_, previous, 0};
        if (!leaving_ && now - renewed_at_ >= renewal_interval_)
            return lease_record{workspace_, agent_, incarnation_, previous, fencing_token_};
        return std::nullopt;
    }
    auto const list_is_fresh =
        list_read_sent_ && now - *list_read_sent_ < timing_.confirmation_lifetime;
    if (leaving_ || !is_preferred_owner_ || !list_is_fresh)
        return std::nullopt;
    auto const not_held = !newest_lease_ || newest_lease_->agent.empty();
    if (!not_held && !holder_absent_long_enough())
        return std::nullopt;
    return lease_record{workspace_, agent_, incarnation_, previous, 0};
}

bool bucket_lease::is_confirmed(base::time_point now) const
{
    if (fencing_token_ == 0 || !log_read_sent_)
        return false;
    if (now - *log_read_sent_ < timing_.confirmation_lifetime)
        return true;
    // The lease record stays in the log for at least three quarters of the retention after the last
    // log read. Beyond that, an agent that starts reading the log would not know the owner.
    if (now - *log_read_sent_ >= 2 * renewal_interval_)
        return false;
    return list_confirmation_sent_ &&
           now - *list_confirmation_sent_ < timing_.confirmation_lifetime;
}

bool bucket_lease::holder_absent_long_enough() const
{
    return newest_lease_ && absent_holder_id_ == newest_lease_->list_entry_id() &&
           *list_read_sent_ - holder_absent_since_ >= timing_.takeover_absence();
}

} // namespace savorymount::limits
