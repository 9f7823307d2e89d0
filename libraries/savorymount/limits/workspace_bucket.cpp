#include <savorymount/limits/workspace_bucket.hpp>

#include <algorithm>

namespace savorymount::limits
{

namespace
{

constexpr std::int64_t micro = 1'000'000;
/// Grants beyond `least` take at most this part of the level.
constexpr std::int64_t ahead_divisor = 8;
constexpr std::size_t max_expired_grants = 4096;

std::int64_t to_micro(std::uint64_t tokens)
{
    return static_cast<std::int64_t>(tokens) * micro;
}

} // namespace

workspace_bucket::workspace_bucket(base::time_point now, std::uint64_t fence, std::uint64_t rate,
                                   std::uint64_t burst, start_level start, limit_timing timing)
    : timing_(timing), fence_(fence), rate_(rate), burst_(burst), updated_(now)
{
    if (start == start_level::full)
        level_micro_ = to_micro(burst);
}

std::optional<token_grant> workspace_bucket::grant(base::time_point now, std::uint64_t tokens,
                                                   std::uint64_t least, base::duration& retry_after)
{
    advance(now);
    retry_after = base::duration::zero();
    auto const needed = std::max<std::uint64_t>(least, 1);
    auto const there = whole_level();
    if (there < static_cast<std::int64_t>(needed))
    {
        retry_after = time_until(now, needed).value_or(base::duration::zero());
        return std::nullopt;
    }
    auto const ahead = static_cast<std::uint64_t>(there / ahead_divisor);
    auto const amount = std::min(std::max(tokens, needed), std::max(needed, ahead));
    level_micro_ -= to_micro(amount);
    outstanding_ += amount;
    auto const id = next_id_++;
    issued it;
    it.tokens = amount;
    it.open = amount;
    it.expiry = updated_ + timing_.grant_lifetime + timing_.margin;
    grants_.emplace(id, it);
    live_.push_back(id);
    return token_grant{id, amount, timing_.grant_lifetime, fence_};
}

bool workspace_bucket::settle(base::time_point now, std::uint64_t grant_id, std::uint64_t used,
                              std::uint64_t unused)
{
    advance(now);
    auto const found = grants_.find(grant_id);
    if (found == grants_.end())
        return false;
    auto& it = found->second;
    auto const old_excess = it.used + it.unused - std::min(it.tokens, it.used + it.unused);
    auto const new_used = std::max(it.used, used);
    auto const new_unused = std::max(it.unused, std::min(unused, it.tokens));
    auto used_delta = new_used - it.used;
    auto const unused_delta = new_unused - it.unused;
    it.used = new_used;
    it.unused = new_unused;

    auto const already_counted = std::min(it.forgotten, used_delta);
    it.forgotten -= already_counted;
    used_delta -= already_counted;
    close_tokens(it, std::min(it.open, used_delta));

    auto const returned = std::min(it.open, unused_delta);
    close_tokens(it, returned);
    level_micro_ += to_micro(returned);

    auto const excess = it.used + it.unused - std::min(it.tokens, it.used + it.unused);
    level_micro_ -= to_micro(excess - std::min(excess, old_excess));
    enforce_burst();
    return true;
}

void workspace_bucket::configure(base::time_point now, std::uint64_t rate, std::uint64_t burst)
{
    advance(now);
    rate_ = rate;
    burst_ = burst;
    enforce_burst();
}

std::optional<base::duration> workspace_bucket::time_until(base::time_point now,
                                                           std::uint64_t tokens)
{
    advance(now);
    if (tokens > burst_)
        return std::nullopt;
    auto const wanted = to_micro(tokens);
    if (level_micro_ >= wanted)
        return base::duration::zero();
    if (rate_ == 0)
        return std::nullopt;
    auto const rate = static_cast<std::int64_t>(rate_);
    // Refill stops at the burst, so live grants may have to end first.
    auto level = level_micro_;
    auto out = to_micro(outstanding_);
    auto when = updated_;
    for (auto const id : live_)
    {
        auto const found = grants_.find(id);
        if (found == grants_.end() || found->second.open == 0)
            continue;
        auto const bound = to_micro(burst_) - out;
        auto const full_at = when + base::duration((wanted - level + rate - 1) / rate);
        if (wanted <= bound && full_at <= found->second.expiry)
            return full_at - updated_;
        auto const gained = rate * (found->second.expiry - when).count();
        level = std::max(level, std::min(level + gained, bound));
        when = found->second.expiry;
        out -= to_micro(found->second.open);
        if (level >= wanted)
            return when - updated_;
    }
    return when + base::duration((wanted - level + rate - 1) / rate) - updated_;
}

bool workspace_bucket::all_grants_ended(base::time_point now)
{
    advance(now);
    return outstanding_ == 0;
}

std::int64_t workspace_bucket::level(base::time_point now)
{
    advance(now);
    return whole_level();
}

std::uint64_t workspace_bucket::outstanding(base::time_point now)
{
    advance(now);
    return outstanding_;
}

std::uint64_t workspace_bucket::reclaimable(base::time_point now)
{
    advance(now);
    return reclaimable_;
}

void workspace_bucket::advance(base::time_point now)
{
    // Grants end in the order in which they were handed out, and refill up to each end must see
    // the grant's tokens as outstanding.
    while (!live_.empty())
    {
        auto const id = live_.front();
        auto const found = grants_.find(id);
        if (found != grants_.end() && found->second.expiry > now)
            break;
        if (found != grants_.end())
        {
            refill(found->second.expiry);
            expire(id);
        }
        live_.pop_front();
    }
    refill(now);
}

void workspace_bucket::refill(base::time_point until)
{
    if (until <= updated_)
        return;
    auto const elapsed = (until - updated_).count();
    updated_ = until;
    auto const room = to_micro(burst_) - to_micro(outstanding_) - level_micro_;
    if (room <= 0)
        return;
    // The product may not fit into 64 bits after a long idle time.
    auto const gained = static_cast<double>(rate_) * static_cast<double>(elapsed);
    if (gained >= static_cast<double>(room))
        level_micro_ += room;
    else
        level_micro_ += static_cast<std::int64_t>(rate_) * elapsed;
    enforce_burst();
}

void workspace_bucket::enforce_burst()
{
    auto const bound = to_micro(burst_) - to_micro(outstanding_);
    auto const over = level_micro_ + to_micro(reclaimable_) - bound;
    if (over > 0 && reclaimable_ > 0)
        forget_reclaimable(static_cast<std::uint64_t>((over + micro - 1) / micro));
    level_micro_ = std::min(level_micro_, bound);
}

void workspace_bucket::expire(std::uint64_t grant_id)
{
    auto& it = grants_[grant_id];
    if (it.open == 0)
    {
        grants_.erase(grant_id);
        return;
    }
    it.expired = true;
    outstanding_ -= it.open;
    reclaimable_ += it.open;
    expired_.push_back(grant_id);
    if (expired_.size() > max_expired_grants)
        forget_oldest_expired();
}

void workspace_bucket::forget_reclaimable(std::uint64_t tokens)
{
    while (tokens > 0 && !expired_.empty())
    {
        auto const found = grants_.find(expired_.front());
        if (found == grants_.end() || found->second.open <= tokens)
        {
            if (found != grants_.end())
                tokens -= found->second.open;
            forget_oldest_expired();
            continue;
        }
        auto& it = found->second;
        it.open -= tokens;
        it.forgotten += tokens;
        reclaimable_ -= tokens;
        return;
    }
}

void workspace_bucket::forget_oldest_expired()
{
    auto const found = grants_.find(expired_.front());
    expired_.pop_front();
    if (found == grants_.end())
        return;
    reclaimable_ -= found->second.open;
    grants_.erase(found);
}

void workspace_bucket::close_tokens(issued& it, std::uint64_t tokens)
{
    it.open -= tokens;
    (it.expired ? reclaimable_ : outstanding_) -= tokens;
}

std::int64_t workspace_bucket::whole_level() const
{
    // Division truncates towards zero; a debt must round down.
    return level_micro_ >= 0 ? level_micro_ / micro : -((-level_micro_ + micro - 1) / micro);
}

} // namespace savorymount::limits
