#include <savorymount/base/digest.hpp>
#include <savorymount/deduplication/idempotency_claims.hpp>

#include <algorithm>

namespace savorymount::deduplication
{
namespace
{

constexpr std::uint64_t no_digest = 0;

std::uint64_t short_digest(std::string_view digest)
{
    return digest.empty() ? no_digest : base::chain_digest(0, digest);
}

} // namespace

idempotency_claims::idempotency_claims(claim_limits limits, std::string agent,
                                       std::string incarnation, liveness_check is_live)
    : limits_(limits), local_process_(std::move(agent), std::move(incarnation)),
      is_live_(std::move(is_live))
{
}

void idempotency_claims::apply(std::uint64_t offset, std::int64_t time_ms,
                               std::vector<claim> const& claims, base::time_point now)
{
    if (offset < next_offset_)
        return;
    next_offset_ = offset + 1;
    // The platform's clock may step back. The log time must never decrease and must be the same for
    // all readers.
    log_time_ms_ = std::max(log_time_ms_, time_ms);
    remove_expired();
    for (auto const& it : claims)
        apply_claim(offset, it, now);
}

void idempotency_claims::apply_claim(std::uint64_t offset, claim const& it, base::time_point now)
{
    auto const pending = pending_appends_.find(it.request_id);
    bool const is_own = pending != pending_appends_.end() && it.agent == local_process_.first &&
                        it.incarnation == local_process_.second;
    auto const key = hash_key(it.workspace, it.key_digest);
    if (!winners_.contains(key))
    {
        winner entry;
        entry.offset = offset;
        entry.time_ms = log_time_ms_;
        bool const complete = !may_miss_claims() && offset >= *complete_from_;
        if (is_own && complete)
            entry.sent_at = pending->second;
        entry.read_at = now;
        entry.process = winner_counts_.try_emplace({it.agent, it.incarnation}, 0).first;
        ++entry.process->second;
        entry.request_digest = short_digest(it.request_digest);
        entry.request_id = it.request_id;
        winners_.emplace(key, std::move(entry));
        winner_order_.push_back(key);
        if (winners_.size() > limits_.max_winners)
            evict_oldest();
    }
    if (is_own)
        pending_appends_.erase(pending);
}

void idempotency_claims::on_log_end_reached(std::uint64_t next_offset)
{
    next_offset_ = std::max(next_offset_, next_offset);
    // For claims appended from here on, records that the log has already deleted are older than its
    // retention and therefore older than the window.
    if (!complete_from_)
        complete_from_ = next_offset_;
}

claim_decision idempotency_claims::decide_before_append(std::string_view workspace,
                                                        std::string_view key_digest,
                                                        std::string_view request_digest,
                                                        base::time_point now)
{
    auto const it = winners_.find(hash_key(workspace, key_digest));
    if (it != winners_.end() && now - it->second.read_at < limits_.window)
        return decide_by_winner(it->second, request_digest, now);
    if (!log_available_ || may_miss_claims())
        return {claim_action::refuse_not_run, {}, {}, {}};
    return {claim_action::append, {}, {}, {}};
}

void idempotency_claims::record_append(claim const& own, base::time_point now)
{
    remove_old_appends(now);
    if (pending_appends_.try_emplace(own.request_id, now).second)
        pending_append_order_.emplace_back(now, own.request_id);
}

claim_decision idempotency_claims::decide_after_append(claim const& own, base::time_point now)
{
    remove_old_appends(now);
    auto const it = winners_.find(hash_key(own.workspace, own.key_digest));
    if (it != winners_.end())
        return decide_by_winner(it->second, own.request_digest, now);
    bool const may_still_win = pending_appends_.contains(own.request_id) && log_available_;
    return {may_still_win ? claim_action::wait : claim_action::refuse_not_run, {}, {}, {}};
}

void idempotency_claims::withdraw(std::string_view workspace, std::string_view key_digest,
                                  std::string_view request_id)
{
    auto const it = winners_.find(hash_key(workspace, key_digest));
    if (it != winners_.end() && it->second.process->first == local_process_ &&
        it->second.request_id == request_id)
        it->second.run_allowed = false;
}

claim_decision idempotency_claims::decide_by_winner(winner& it, std::string_view request_digest,
                                                    base::time_point now)
{
    if (!request_digest.empty() && it.request_digest != no_digest &&
        it.request_digest != short_digest(request_digest))
        return {claim_action::refuse_conflict, {}, {}, {}};
    if (it.process->first == local_process_)
        return decide_as_winner(it, now);
    auto const& [agent, incarnation] = it.process->first;
    if (!is_live_(agent, incarnation))
        return {claim_action::refuse_unknown, {}, {}, {}};
    return {claim_action::attach, it.request_id, agent, incarnation};
}

claim_decision idempotency_claims::decide_as_winner(winner& it, base::time_point now)
{
    if (it.run_allowed)
        return {claim_action::attach, it.request_id, local_process_.first, local_process_.second};
    if (!it.sent_at || !is_recent(*it.sent_at, now))
        return {claim_action::refuse_not_run, {}, {}, {}};
    it.run_allowed = true;
    return {claim_action::run_here, it.request_id, local_process_.first, local_process_.second};
}

bool idempotency_claims::may_miss_claims() const
{
    return !complete_from_ || log_time_ms_ < evicted_until_ms_;
}

bool idempotency_claims::is_recent(base::time_point sent_at, base::time_point now) const
{
    return now - sent_at < limits_.window / 2;
}

void idempotency_claims::remove_expired()
{
    while (!winner_order_.empty())
    {
        auto const it = winners_.find(winner_order_.front());
        if (it->second.time_ms + window_ms() > log_time_ms_)
            return;
        if (--it->second.process->second == 0)
            winner_counts_.erase(it->second.process);
        winners_.erase(it);
        winner_order_.pop_front();
    }
}

void idempotency_claims::evict_oldest()
{
    auto const it = winners_.find(winner_order_.front());
    evicted_until_ms_ = std::max(evicted_until_ms_, it->second.time_ms + window_ms());
    if (--it->second.process->second == 0)
        winner_counts_.erase(it->second.process);
    winners_.erase(it);
    winner_order_.pop_front();
}

void idempotency_claims::remove_old_appends(base::time_point now)
{
    while (!pending_append_order_.empty() && !is_recent(pending_append_order_.front().first, now))
    {
        pending_appends_.erase(pending_append_order_.front().second);
        pending_append_order_.pop_front();
    }
}

std::int64_t idempotency_claims::window_ms() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(limits_.window).count();
}

idempotency_claims::hashed_key idempotency_claims::hash_key(std::string_view workspace,
                                                            std::string_view key_digest)
{
    // 128 bits of SHA-256, because a collision would return the outcome of a different request.
    std::string text(workspace);
    text += '\n';
    text += key_digest;
    auto const digest = base::sha256_hex(text);
    constexpr std::size_t digits = 16;
    return {std::stoull(digest.substr(0, digits), nullptr, 16),
            std::stoull(digest.substr(digits, digits), nullptr, 16)};
}

} // namespace savorymount::deduplication
