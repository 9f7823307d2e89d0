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
                                       std::string incarnation, liveness is_live)
    : limits_(limits), self_(std::move(agent), std::move(incarnation)), is_live_(std::move(is_live))
{
}

void idempotency_claims::apply(std::uint64_t offset, std::int64_t time_ms,
                               std::vector<claim> const& claims, base::time_point now)
{
    if (offset < next_offset_)
        return;
    next_offset_ = offset + 1;
    // The platform's clock may step back. The fold needs a time that every reader derives alike and
    // that never does.
    log_time_ms_ = std::max(log_time_ms_, time_ms);
    expire();
    for (auto const& it : claims)
        apply_claim(offset, it, now);
}

void idempotency_claims::apply_claim(std::uint64_t offset, claim const& it, base::time_point now)
{
    auto const sent = sent_.find(it.request);
    bool const is_own =
        sent != sent_.end() && it.agent == self_.first && it.incarnation == self_.second;
    auto const key = key_of(it.workspace, it.key);
    if (!winners_.contains(key))
    {
        winner entry;
        entry.offset = offset;
        entry.time_ms = log_time_ms_;
        bool const certain = !may_miss_claims() && offset >= *certain_from_;
        if (is_own && certain)
            entry.sent_at = sent->second;
        entry.read_at = now;
        entry.holder = holders_.try_emplace({it.agent, it.incarnation}, 0).first;
        ++entry.holder->second;
        entry.digest = short_digest(it.digest);
        entry.request = it.request;
        winners_.emplace(key, std::move(entry));
        order_.push_back(key);
        if (winners_.size() > limits_.count)
            drop_oldest();
    }
    if (is_own)
        sent_.erase(sent);
}

void idempotency_claims::reach_end(std::uint64_t next)
{
    next_offset_ = std::max(next_offset_, next);
    // Whatever the log had dropped by now is older than its retention, hence than the window, for
    // every claim that is appended from here on.
    if (!certain_from_)
        certain_from_ = next_offset_;
}

claim_verdict idempotency_claims::before_append(std::string_view workspace, std::string_view key,
                                                std::string_view digest, base::time_point now)
{
    auto const it = winners_.find(key_of(workspace, key));
    if (it != winners_.end() && now - it->second.read_at < limits_.window)
        return follow(it->second, digest, now);
    if (!log_available_ || may_miss_claims())
        return {claim_action::refuse_not_run, {}, {}, {}};
    return {claim_action::append, {}, {}, {}};
}

void idempotency_claims::note_append(claim const& own, base::time_point now)
{
    forget_sent(now);
    if (sent_.try_emplace(own.request, now).second)
        sent_order_.emplace_back(now, own.request);
}

claim_verdict idempotency_claims::after_append(claim const& own, base::time_point now)
{
    forget_sent(now);
    auto const it = winners_.find(key_of(own.workspace, own.key));
    if (it != winners_.end())
        return follow(it->second, own.digest, now);
    bool const may_still_win = sent_.contains(own.request) && log_available_;
    return {may_still_win ? claim_action::wait : claim_action::refuse_not_run, {}, {}, {}};
}

void idempotency_claims::withdraw(std::string_view workspace, std::string_view key,
                                  std::string_view request)
{
    auto const it = winners_.find(key_of(workspace, key));
    if (it != winners_.end() && it->second.holder->first == self_ && it->second.request == request)
        it->second.started = false;
}

claim_verdict idempotency_claims::follow(winner& it, std::string_view digest, base::time_point now)
{
    if (!digest.empty() && it.digest != no_digest && it.digest != short_digest(digest))
        return {claim_action::refuse_conflict, {}, {}, {}};
    if (it.holder->first == self_)
        return follow_own(it, now);
    auto const& [agent, incarnation] = it.holder->first;
    if (!is_live_(agent, incarnation))
        return {claim_action::refuse_unknown, {}, {}, {}};
    return {claim_action::attach, it.request, agent, incarnation};
}

claim_verdict idempotency_claims::follow_own(winner& it, base::time_point now)
{
    if (it.started)
        return {claim_action::attach, it.request, self_.first, self_.second};
    if (!it.sent_at || !is_fresh(*it.sent_at, now))
        return {claim_action::refuse_not_run, {}, {}, {}};
    it.started = true;
    return {claim_action::run_here, it.request, self_.first, self_.second};
}

bool idempotency_claims::may_miss_claims() const
{
    return !certain_from_ || log_time_ms_ < dropped_until_ms_;
}

bool idempotency_claims::is_fresh(base::time_point sent_at, base::time_point now) const
{
    return now - sent_at < limits_.window / 2;
}

void idempotency_claims::expire()
{
    while (!order_.empty())
    {
        auto const it = winners_.find(order_.front());
        if (it->second.time_ms + window_ms() > log_time_ms_)
            return;
        if (--it->second.holder->second == 0)
            holders_.erase(it->second.holder);
        winners_.erase(it);
        order_.pop_front();
    }
}

void idempotency_claims::drop_oldest()
{
    auto const it = winners_.find(order_.front());
    dropped_until_ms_ = std::max(dropped_until_ms_, it->second.time_ms + window_ms());
    if (--it->second.holder->second == 0)
        holders_.erase(it->second.holder);
    winners_.erase(it);
    order_.pop_front();
}

void idempotency_claims::forget_sent(base::time_point now)
{
    while (!sent_order_.empty() && !is_fresh(sent_order_.front().first, now))
    {
        sent_.erase(sent_order_.front().second);
        sent_order_.pop_front();
    }
}

std::int64_t idempotency_claims::window_ms() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(limits_.window).count();
}

idempotency_claims::claim_key idempotency_claims::key_of(std::string_view workspace,
                                                         std::string_view key)
{
    // A collision would answer one request with the outcome of another, so 128 bits of SHA-256.
    std::string text(workspace);
    text += '\n';
    text += key;
    auto const digest = base::sha256_hex(text);
    constexpr std::size_t digits = 16;
    return {std::stoull(digest.substr(0, digits), nullptr, 16),
            std::stoull(digest.substr(digits, digits), nullptr, 16)};
}

} // namespace savorymount::deduplication
