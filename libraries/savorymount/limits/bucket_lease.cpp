#include <savorymount/limits/bucket_lease.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::limits
{

bucket_lease::bucket_lease(std::string workspace, std::string agent, std::string incarnation,
                           limit_timing timing, base::duration renewal, base::duration retry)
    : workspace_(std::move(workspace)), agent_(std::move(agent)),
      incarnation_(std::move(incarnation)), timing_(timing), renewal_(renewal), retry_(retry)
{
}

std::vector<lease_action> bucket_lease::log_record(base::time_point now,
                                                   lease_directory const& directory)
{
    std::vector<lease_action> out;
    follow(now, directory, out);
    return out;
}

std::vector<lease_action> bucket_lease::log_read(base::time_point now, base::time_point sent,
                                                 lease_directory const& directory)
{
    std::vector<lease_action> out;
    follow(now, directory, out);
    log_read_ = log_read_ ? std::max(*log_read_, sent) : sent;
    if (list_denied_ && sent >= *list_denied_)
        list_denied_.reset();
    advance(now, out);
    return out;
}

std::vector<lease_action> bucket_lease::list_read(base::time_point now, base::time_point sent,
                                                  agent_list const& list)
{
    std::vector<lease_action> out;
    auto const gap = !list_read_ || sent - *list_read_ > timing_.hold;
    list_read_ = sent;
    note_presence(now, sent, list);
    note_absence(now, list, gap);
    auto const takeover_possible = !newest_ || newest_->agent.empty() || !absent_id_.empty();
    // The rendezvous order costs a digest per agent, so it is computed only when it matters. The
    // list may still show an agent that released as live.
    auto const skipped = newest_ ? newest_->released_by : std::string();
    candidate_ = fence_ == 0 && !leaving_ && takeover_possible &&
                 list.candidate(workspace_, skipped) == own_list_id();
    advance(now, out);
    return out;
}

std::vector<lease_action> bucket_lease::append_ended(base::time_point now, std::string const& id,
                                                     bool appended)
{
    std::vector<lease_action> out;
    if (!appending_ || id != append_id_)
        return out;
    appending_ = false;
    // An appended record shows its effect with the next log read; until then another append
    // would only be rejected.
    append_after_ = now + (appended ? timing_.hold : retry_);
    advance(now, out);
    return out;
}

std::vector<lease_action> bucket_lease::tick(base::time_point now)
{
    std::vector<lease_action> out;
    advance(now, out);
    return out;
}

std::vector<lease_action> bucket_lease::leave(base::time_point now)
{
    std::vector<lease_action> out;
    leaving_ = true;
    candidate_ = false;
    if (phase_ == phase::owning || phase_ == phase::unconfirmed)
        out.emplace_back(stop_owning{fence_, false});
    // Nothing was granted while waiting.
    if (phase_ == phase::waiting)
        grants_ended_ = true;
    advance(now, out);
    return out;
}

std::vector<lease_action> bucket_lease::grants_ended(base::time_point now)
{
    std::vector<lease_action> out;
    grants_ended_ = leaving_;
    advance(now, out);
    return out;
}

bool bucket_lease::may_grant(base::time_point now) const
{
    return phase_ == phase::owning && !leaving_ && confirmed(now);
}

bool bucket_lease::released() const
{
    return fence_ == 0 && !appending_;
}

void bucket_lease::follow(base::time_point now, lease_directory const& directory,
                          std::vector<lease_action>& out)
{
    auto const* const newest = directory.newest(workspace_);
    newest_ = newest == nullptr ? std::nullopt : std::optional(*newest);
    auto const own = newest_ && newest_->agent == agent_ && newest_->incarnation == incarnation_;
    if (fence_ != 0 && !(own && newest_->fence == fence_))
        lose(out);
    if (!own)
        return;
    if (fence_ == 0)
        become_holder(now);
    if (renewed_offset_ == newest_->offset)
        return;
    renewed_offset_ = newest_->offset;
    renewed_at_ = now;
    // The log shows the fate of the append, even if its answer never comes.
    appending_ = false;
}

void bucket_lease::become_holder(base::time_point now)
{
    fence_ = newest_->fence;
    candidate_ = false;
    starts_full_ = newest_->first_ever;
    auto const at_once = newest_->first_ever || newest_->after_release;
    start_at_ = at_once ? now : now + timing_.takeover_wait();
    phase_ = phase::waiting;
}

void bucket_lease::lose(std::vector<lease_action>& out)
{
    if (!leaving_ && (phase_ == phase::owning || phase_ == phase::unconfirmed))
        out.emplace_back(stop_owning{fence_, false});
    fence_ = 0;
    phase_ = phase::outside;
    appending_ = false;
    list_confirmed_.reset();
}

void bucket_lease::note_presence(base::time_point now, base::time_point sent,
                                 agent_list const& list)
{
    if (!list.contains(own_list_id()))
    {
        // Another agent may already have seen the absence for long enough, so later list reads
        // prove nothing until the log shows that nobody took over.
        list_denied_ = now;
        list_confirmed_.reset();
        return;
    }
    if (!list_denied_)
        list_confirmed_ = sent;
}

void bucket_lease::note_absence(base::time_point now, agent_list const& list, bool gap)
{
    auto const foreign = newest_ && !newest_->agent.empty() && fence_ == 0;
    if (!foreign || list.contains(newest_->list_id()))
    {
        absent_id_.clear();
        return;
    }
    // The holder may have been listed between two reads that are far apart.
    if (!gap && absent_id_ == newest_->list_id())
        return;
    absent_id_ = newest_->list_id();
    absent_since_ = now;
}

void bucket_lease::advance(base::time_point now, std::vector<lease_action>& out)
{
    if (!leaving_)
    {
        auto const valid = confirmed(now);
        if (phase_ == phase::owning && !valid)
        {
            phase_ = phase::unconfirmed;
            out.emplace_back(stop_owning{fence_, true});
        }
        else if (phase_ == phase::unconfirmed && valid)
        {
            phase_ = phase::owning;
            out.emplace_back(resume_owning{fence_});
        }
        else if (phase_ == phase::waiting && now >= start_at_ && valid)
        {
            phase_ = phase::owning;
            out.emplace_back(start_owning{fence_, starts_full_});
        }
    }
    consider_append(now, out);
}

void bucket_lease::consider_append(base::time_point now, std::vector<lease_action>& out)
{
    // The record must name the newest lease, so only fresh knowledge of the log is of use.
    if (appending_ || now < append_after_ || !log_read_ || now - *log_read_ >= timing_.hold)
        return;
    auto const record = wanted_record(now);
    if (!record)
        return;
    appending_ = true;
    append_id_ = own_list_id() + "/" + workspace_ + "/" + std::to_string(++append_count_);
    out.emplace_back(append_lease{append_id_, *record});
}

std::optional<lease_record> bucket_lease::wanted_record(base::time_point now) const
{
    auto const previous = newest_ ? newest_->offset : 0;
    if (fence_ != 0)
    {
        // A release lets the next owner start at once, so the waiting time must have passed.
        if (leaving_ && grants_ended_ && now >= start_at_)
            return lease_record{workspace_, "", incarnation_, previous, 0};
        if (!leaving_ && now - renewed_at_ >= renewal_)
            return lease_record{workspace_, agent_, incarnation_, previous, fence_};
        return std::nullopt;
    }
    auto const list_is_fresh = list_read_ && now - *list_read_ < timing_.hold;
    if (leaving_ || !candidate_ || !list_is_fresh)
        return std::nullopt;
    auto const vacant = !newest_ || newest_->agent.empty();
    if (!vacant && !absent_long_enough())
        return std::nullopt;
    return lease_record{workspace_, agent_, incarnation_, previous, 0};
}

bool bucket_lease::confirmed(base::time_point now) const
{
    if (fence_ == 0 || !log_read_)
        return false;
    if (now - *log_read_ < timing_.hold)
        return true;
    // The lease record stays in the log for at least three quarters of the retention after the
    // last log read. Without this bound a reader that starts after that would not know the owner.
    if (now - *log_read_ >= 2 * renewal_)
        return false;
    return list_confirmed_ && now - *list_confirmed_ < timing_.hold;
}

bool bucket_lease::absent_long_enough() const
{
    return newest_ && absent_id_ == newest_->list_id() &&
           *list_read_ - absent_since_ >= timing_.absence();
}

} // namespace savorymount::limits
