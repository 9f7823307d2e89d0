#include <savorymount/limits/grant_pool.hpp>

#include <algorithm>
#include <cmath>

namespace savorymount::limits
{

namespace
{

/// Minimum time between grant requests after a refusal, so that a workspace over its rate does not
/// cause a message per request.
constexpr base::duration min_refusal_delay = std::chrono::milliseconds(50);
constexpr base::duration failure_retry_delay = std::chrono::milliseconds(500);
constexpr base::duration unavailable_retry_delay = std::chrono::seconds(1);
constexpr std::size_t max_late_requests = 8;

double seconds(base::duration it)
{
    return std::chrono::duration<double>(it).count();
}

} // namespace

grant_pool::grant_pool(std::uint64_t rate, std::uint64_t burst, limit_timing timing,
                       grant_sizing sizing)
    : rate_(rate), burst_(burst), timing_(timing), sizing_(sizing)
{
}

void grant_pool::configure(std::uint64_t rate, std::uint64_t burst)
{
    // A refusal under the old limit does not apply to the new one.
    if (rate != rate_ || burst != burst_)
        refused_until_ = {};
    rate_ = rate;
    burst_ = burst;
}

void grant_pool::on_owner_changed(base::time_point now, std::uint64_t fencing_token, bool reachable)
{
    advance(now);
    if (fencing_token < fencing_token_)
        return;
    reachable_ = reachable;
    if (fencing_token == fencing_token_)
        return;
    fencing_token_ = fencing_token;
    pending_request_.reset();
    late_requests_.clear();
    refused_until_ = {};
    prefetch_refused_until_ = {};
    unavailable_until_ = {};
    for (auto& [grant_key, it] : grants_)
    {
        if (!it.closed)
            close(now, it);
        // Reports to an earlier owner are no longer needed.
        it.report_due.reset();
    }
    std::erase_if(grants_, [](auto const& it) { return it.second.running == 0; });
}

admission grant_pool::admit(base::time_point now, std::uint64_t tokens, bool first_attempt)
{
    advance(now);
    if (tokens > burst_)
        return {admission::decision::too_large, 0, {}};
    if (first_attempt)
        record_demand(now, tokens);
    auto const free = free_tokens(now);
    if (free >= tokens)
    {
        auto const reservation = reserve(now, tokens);
        prefetch(now);
        return {admission::decision::admitted, reservation, {}};
    }
    if (fencing_token_ == 0 || !reachable_)
        return {admission::decision::unavailable, 0, unavailable_retry_delay};
    if (now < unavailable_until_)
        return {admission::decision::unavailable, 0, unavailable_until_ - now};
    auto const missing_tokens = tokens - free;
    if (now < refused_until_ && missing_tokens >= refused_tokens_)
    {
        auto wait = refused_until_ - now;
        if (rate_ > 0)
            wait += base::duration((missing_tokens - refused_tokens_) * 1'000'000 / rate_);
        return {admission::decision::refused, 0, wait};
    }
    request_tokens(now, missing_tokens);
    return {admission::decision::waiting, 0, {}};
}

void grant_pool::complete(base::time_point now, std::uint64_t reservation, std::uint64_t used)
{
    advance(now);
    auto const found = reservations_.find(reservation);
    if (found == reservations_.end())
        return;
    auto const parts = std::move(found->second);
    reservations_.erase(found);
    for (std::size_t n = 0; n < parts.size(); ++n)
    {
        auto const last = n + 1 == parts.size();
        auto const used_of_part = last ? used : std::min(used, parts[n].tokens);
        used -= used_of_part;
        auto const found_grant = grants_.find(parts[n].grant_key);
        if (found_grant == grants_.end())
            continue;
        auto& it = found_grant->second;
        // Usage that was reported cannot be taken back.
        auto const counted_used = std::max(used_of_part, parts[n].used);
        it.running -= parts[n].tokens - parts[n].used;
        it.used += counted_used - parts[n].used;
        auto const unused = parts[n].tokens - std::min(counted_used, parts[n].tokens);
        (it.closed ? it.unused : it.free) += unused;
        schedule_report(now, it);
        close_if_used_up(now, it);
    }
}

void grant_pool::record_progress(base::time_point now, std::uint64_t reservation,
                                 std::uint64_t used)
{
    advance(now);
    auto const found = reservations_.find(reservation);
    if (found == reservations_.end())
        return;
    for (auto& it : found->second)
    {
        auto const used_of_part = std::min(used, it.tokens);
        used -= used_of_part;
        auto const found_grant = grants_.find(it.grant_key);
        if (found_grant == grants_.end() || used_of_part <= it.used)
            continue;
        found_grant->second.running -= used_of_part - it.used;
        found_grant->second.used += used_of_part - it.used;
        it.used = used_of_part;
        schedule_report(now, found_grant->second);
    }
}

void grant_pool::on_grant_received(base::time_point now, std::uint64_t request_id,
                                   token_grant const& received)
{
    advance(now);
    auto const request = remove_request(request_id);
    if (!request || received.fencing_token < fencing_token_)
        return;
    if (received.fencing_token > fencing_token_)
        on_owner_changed(now, received.fencing_token, true);
    held_grant it;
    it.issued = received;
    it.expiry = request->requested_at + std::min(received.lifetime, timing_.grant_lifetime);
    it.free = received.tokens;
    auto const grant_key = next_grant_key_++;
    auto& added_grant = grants_.emplace(grant_key, it).first->second;
    if (added_grant.expiry <= now)
        close(now, added_grant);
}

void grant_pool::on_grant_refused(base::time_point now, std::uint64_t request_id,
                                  base::duration retry_after)
{
    advance(now);
    auto const request = remove_request(request_id);
    if (!request)
        return;
    auto const until = now + std::max(retry_after, min_refusal_delay);
    if (request->min_tokens == 0)
    {
        // A refused prefetch does not mean that the tokens for a request are refused.
        prefetch_refused_until_ = until;
        return;
    }
    refused_until_ = until;
    refused_tokens_ = request->min_tokens;
}

void grant_pool::on_grant_failed(base::time_point now, std::uint64_t request_id)
{
    advance(now);
    if (!pending_request_ || pending_request_->request_id != request_id)
        return;
    fail_request(now);
}

std::vector<grant_action> grant_pool::take_actions(base::time_point now)
{
    advance(now);
    std::vector<grant_action> out;
    if (pending_request_ && !pending_request_->sent)
    {
        pending_request_->sent = true;
        // The grant's lifetime counts from before the request is sent.
        pending_request_->requested_at = now;
        out.emplace_back(request_grant{pending_request_->request_id, fencing_token_,
                                       pending_request_->tokens, pending_request_->min_tokens});
    }
    for (auto it = grants_.begin(); it != grants_.end();)
    {
        auto& grant = it->second;
        if (grant.report_due && *grant.report_due <= now)
        {
            grant.report_due.reset();
            out.emplace_back(
                report_usage{fencing_token_, grant.issued.id, grant.used, grant.unused});
        }
        auto const finished = grant.closed && grant.running == 0 && !grant.report_due;
        it = finished ? grants_.erase(it) : std::next(it);
    }
    return out;
}

std::optional<base::time_point> grant_pool::next_tick() const
{
    std::optional<base::time_point> out;
    auto const update_earliest = [&out](base::time_point at)
    {
        if (!out || at < *out)
            out = at;
    };
    for (auto const& [grant_key, it] : grants_)
    {
        if (!it.closed)
            update_earliest(it.expiry);
        if (it.report_due)
            update_earliest(*it.report_due);
    }
    if (pending_request_ && pending_request_->sent)
        update_earliest(pending_request_->requested_at + sizing_.request_timeout);
    return out;
}

std::uint64_t grant_pool::available(base::time_point now)
{
    advance(now);
    return free_tokens(now);
}

void grant_pool::advance(base::time_point now)
{
    for (auto& [grant_key, it] : grants_)
    {
        if (!it.closed && it.expiry <= now)
            close(now, it);
    }
    if (pending_request_ && pending_request_->sent &&
        pending_request_->requested_at + sizing_.request_timeout <= now)
        fail_request(now);
    auto const is_expired = [&](pending_request const& it)
    {
        return it.requested_at + timing_.grant_lifetime <= now;
    };
    while (!late_requests_.empty() &&
           (is_expired(late_requests_.front()) || late_requests_.size() > max_late_requests))
        late_requests_.pop_front();
}

void grant_pool::fail_request(base::time_point now)
{
    late_requests_.push_back(*pending_request_);
    pending_request_.reset();
    unavailable_until_ = now + failure_retry_delay;
}

void grant_pool::close(base::time_point now, held_grant& it)
{
    it.closed = true;
    it.unused += it.free;
    it.free = 0;
    if (it.issued.fencing_token == fencing_token_)
        it.report_due = now;
}

void grant_pool::schedule_report(base::time_point now, held_grant& it)
{
    if (it.closed && !it.report_due && it.issued.fencing_token == fencing_token_)
        it.report_due = now + sizing_.report_interval;
}

void grant_pool::close_if_used_up(base::time_point now, held_grant& it)
{
    if (!it.closed && it.free == 0 && it.running == 0)
        close(now, it);
}

void grant_pool::record_demand(base::time_point now, std::uint64_t tokens)
{
    auto const elapsed = std::max(now - demand_updated_, base::duration::zero());
    demand_tokens_ *= std::exp(-seconds(elapsed) / seconds(sizing_.demand_time_constant));
    demand_tokens_ += static_cast<double>(tokens);
    demand_updated_ = now;
}

std::uint64_t grant_pool::prefetch_tokens(base::time_point now) const
{
    auto const elapsed = std::max(now - demand_updated_, base::duration::zero());
    auto const time_constant = seconds(sizing_.demand_time_constant);
    auto const per_second =
        demand_tokens_ * std::exp(-seconds(elapsed) / time_constant) / time_constant;
    auto const wanted_tokens = per_second * seconds(sizing_.prefetch_interval);
    auto const max_tokens = static_cast<double>(burst_) * sizing_.max_burst_fraction;
    return static_cast<std::uint64_t>(std::min(wanted_tokens, max_tokens));
}

void grant_pool::request_tokens(base::time_point now, std::uint64_t missing_tokens)
{
    if (pending_request_ && pending_request_->sent)
        return;
    if (!pending_request_)
    {
        pending_request_ = pending_request{
            next_request_id_++, now, missing_tokens + prefetch_tokens(now), missing_tokens, false};
        return;
    }
    // Several requests that wait for the same grant need the sum.
    pending_request_->tokens = std::min(pending_request_->tokens + missing_tokens, burst_);
    pending_request_->min_tokens = pending_request_->min_tokens == 0
                                       ? missing_tokens
                                       : std::min(pending_request_->min_tokens, missing_tokens);
}

void grant_pool::prefetch(base::time_point now)
{
    if (pending_request_ || fencing_token_ == 0 || !reachable_ || now < unavailable_until_ ||
        now < refused_until_ || now < prefetch_refused_until_)
        return;
    auto const wanted_tokens = prefetch_tokens(now);
    // Grants that expire soon do not count as prefetched.
    auto const available = free_tokens(now + timing_.grant_lifetime / 4);
    if (wanted_tokens == 0 || available * 2 >= wanted_tokens)
        return;
    pending_request_ =
        pending_request{next_request_id_++, now, wanted_tokens - available, 0, false};
}

std::uint64_t grant_pool::free_tokens(base::time_point until) const
{
    std::uint64_t out = 0;
    for (auto const& [grant_key, it] : grants_)
    {
        if (!it.closed && it.expiry > until)
            out += it.free;
    }
    return out;
}

std::uint64_t grant_pool::reserve(base::time_point now, std::uint64_t tokens)
{
    auto const reservation = next_reservation_++;
    auto& parts = reservations_[reservation];
    for (auto& [grant_key, it] : grants_)
    {
        if (tokens == 0)
            break;
        if (it.closed || it.expiry <= now || it.free == 0)
            continue;
        auto const reserved = std::min(tokens, it.free);
        it.free -= reserved;
        it.running += reserved;
        tokens -= reserved;
        parts.push_back({grant_key, reserved});
    }
    return reservation;
}

std::optional<grant_pool::pending_request> grant_pool::remove_request(std::uint64_t request_id)
{
    if (pending_request_ && pending_request_->request_id == request_id)
    {
        auto const out = pending_request_;
        pending_request_.reset();
        return out;
    }
    for (auto it = late_requests_.begin(); it != late_requests_.end(); ++it)
    {
        if (it->request_id != request_id)
            continue;
        auto const out = *it;
        late_requests_.erase(it);
        return out;
    }
    return std::nullopt;
}

} // namespace savorymount::limits
