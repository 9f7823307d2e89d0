#include <savorymount/limits/workspace_bucket.hpp>

#include <algorithm>

namespace savorymount::limits
{

namespace
{

constexpr std::int64_t micro_per_token = 1'000'000;
/// The burst divided by this is reserved for requests that need tokens immediately.
constexpr std::uint64_t reserve_divisor = 4;
/// A prefetch gets at most the level above the reserve divided by this.
constexpr std::int64_t prefetch_divisor = 8;
constexpr base::duration prefetch_retry_delay = std::chrono::milliseconds(250);
constexpr std::size_t max_expired_grants = 4096;

std::int64_t to_micro(std::uint64_t tokens)
{
    return static_cast<std::int64_t>(tokens) * micro_per_token;
}

} // namespace

workspace_bucket::workspace_bucket(base::time_point now, std::uint64_t fencing_token,
                                   std::uint64_t rate, std::uint64_t burst, start_level start,
                                   limit_timing timing)
    : timing_(timing), fencing_token_(fencing_token), rate_(rate), burst_(burst), updated_at_(now)
{
    if (start == start_level::full)
        level_micro_ = to_micro(burst);
}

std::optional<token_grant> workspace_bucket::grant(base::time_point now, std::uint64_t tokens,
                                                   std::uint64_t min_tokens,
                                                   base::duration& retry_after)
{
    advance(now);
    retry_after = base::duration::zero();
    auto const available = whole_tokens();
    if (available < static_cast<std::int64_t>(min_tokens))
    {
        retry_after = time_until_available(now, min_tokens).value_or(base::duration::zero());
        return std::nullopt;
    }
    // Prefetched tokens stay unused at their agent for a while, and a request at another agent may
    // be refused for lack of them. So they come only from the level above the reserve.
    auto const above_reserve = available - static_cast<std::int64_t>(burst_ / reserve_divisor);
    auto const max_prefetch =
        static_cast<std::uint64_t>(std::max<std::int64_t>(above_reserve / prefetch_divisor, 0));
    auto const amount = std::max(min_tokens, std::min(tokens, max_prefetch));
    if (amount == 0)
    {
        retry_after = prefetch_retry_delay;
        return std::nullopt;
    }
    level_micro_ -= to_micro(amount);
    outstanding_ += amount;
    auto const id = next_id_++;
    issued_grant it;
    it.tokens = amount;
    it.unaccounted = amount;
    it.expiry = updated_at_ + timing_.grant_lifetime + timing_.clock_margin;
    grants_.emplace(id, it);
    unexpired_ids_.push_back(id);
    return token_grant{id, amount, timing_.grant_lifetime, fencing_token_};
}

bool workspace_bucket::apply_usage_report(base::time_point now, std::uint64_t grant_id,
                                          std::uint64_t used, std::uint64_t unused)
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

    auto const already_replaced = std::min(it.replaced, used_delta);
    it.replaced -= already_replaced;
    used_delta -= already_replaced;
    mark_accounted(it, std::min(it.unaccounted, used_delta));

    auto const returned_tokens = std::min(it.unaccounted, unused_delta);
    mark_accounted(it, returned_tokens);
    level_micro_ += to_micro(returned_tokens);

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

std::optional<base::duration> workspace_bucket::time_until_available(base::time_point now,
                                                                     std::uint64_t tokens)
{
    advance(now);
    if (tokens > burst_)
        return std::nullopt;
    auto const needed_level = to_micro(tokens);
    if (level_micro_ >= needed_level)
        return base::duration::zero();
    if (rate_ == 0)
        return std::nullopt;
    auto const rate = static_cast<std::int64_t>(rate_);
    // Refill stops at the burst, so unexpired grants may have to expire first.
    auto level = level_micro_;
    auto outstanding = to_micro(outstanding_);
    auto time = updated_at_;
    for (auto const id : unexpired_ids_)
    {
        auto const found = grants_.find(id);
        if (found == grants_.end() || found->second.unaccounted == 0)
            continue;
        auto const max_level = to_micro(burst_) - outstanding;
        auto const available_at = time + base::duration((needed_level - level + rate - 1) / rate);
        if (needed_level <= max_level && available_at <= found->second.expiry)
            return available_at - updated_at_;
        auto const refilled = rate * (found->second.expiry - time).count();
        level = std::max(level, std::min(level + refilled, max_level));
        time = found->second.expiry;
        outstanding -= to_micro(found->second.unaccounted);
        if (level >= needed_level)
            return time - updated_at_;
    }
    return time + base::duration((needed_level - level + rate - 1) / rate) - updated_at_;
}

bool workspace_bucket::all_grants_expired(base::time_point now)
{
    advance(now);
    return outstanding_ == 0;
}

std::int64_t workspace_bucket::level(base::time_point now)
{
    advance(now);
    return whole_tokens();
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
    // Grants expire in the order in which they were issued. Refill up to each expiry must count the
    // grant's tokens as outstanding.
    while (!unexpired_ids_.empty())
    {
        auto const id = unexpired_ids_.front();
        auto const found = grants_.find(id);
        if (found != grants_.end() && found->second.expiry > now)
            break;
        if (found != grants_.end())
        {
            refill(found->second.expiry);
            expire(id);
        }
        unexpired_ids_.pop_front();
    }
    refill(now);
}

void workspace_bucket::refill(base::time_point until)
{
    if (until <= updated_at_)
        return;
    auto const elapsed = (until - updated_at_).count();
    updated_at_ = until;
    auto const max_refill = to_micro(burst_) - to_micro(outstanding_) - level_micro_;
    if (max_refill <= 0)
        return;
    // After a long idle time the product may not fit into 64 bits.
    auto const refilled = static_cast<double>(rate_) * static_cast<double>(elapsed);
    if (refilled >= static_cast<double>(max_refill))
        level_micro_ += max_refill;
    else
        level_micro_ += static_cast<std::int64_t>(rate_) * elapsed;
    enforce_burst();
}

void workspace_bucket::enforce_burst()
{
    auto const max_level = to_micro(burst_) - to_micro(outstanding_);
    auto const excess = level_micro_ + to_micro(reclaimable_) - max_level;
    if (excess > 0 && reclaimable_ > 0)
        replace_reclaimable(
            static_cast<std::uint64_t>((excess + micro_per_token - 1) / micro_per_token));
    level_micro_ = std::min(level_micro_, max_level);
}

void workspace_bucket::expire(std::uint64_t grant_id)
{
    auto& it = grants_[grant_id];
    if (it.unaccounted == 0)
    {
        grants_.erase(grant_id);
        return;
    }
    it.expired = true;
    outstanding_ -= it.unaccounted;
    reclaimable_ += it.unaccounted;
    expired_ids_.push_back(grant_id);
    if (expired_ids_.size() > max_expired_grants)
        erase_oldest_expired();
}

void workspace_bucket::replace_reclaimable(std::uint64_t tokens)
{
    while (tokens > 0 && !expired_ids_.empty())
    {
        auto const found = grants_.find(expired_ids_.front());
        if (found == grants_.end() || found->second.unaccounted <= tokens)
        {
            if (found != grants_.end())
                tokens -= found->second.unaccounted;
            erase_oldest_expired();
            continue;
        }
        auto& it = found->second;
        it.unaccounted -= tokens;
        it.replaced += tokens;
        reclaimable_ -= tokens;
        return;
    }
}

void workspace_bucket::erase_oldest_expired()
{
    auto const found = grants_.find(expired_ids_.front());
    expired_ids_.pop_front();
    if (found == grants_.end())
        return;
    reclaimable_ -= found->second.unaccounted;
    grants_.erase(found);
}

void workspace_bucket::mark_accounted(issued_grant& it, std::uint64_t tokens)
{
    it.unaccounted -= tokens;
    (it.expired ? reclaimable_ : outstanding_) -= tokens;
}

std::int64_t workspace_bucket::whole_tokens() const
{
    // Division truncates towards zero; a negative level must round down.
    return level_micro_ >= 0 ? level_micro_ / micro_per_token
                             : -((-level_micro_ + micro_per_token - 1) / micro_per_token);
}

} // namespace savorymount::limits
