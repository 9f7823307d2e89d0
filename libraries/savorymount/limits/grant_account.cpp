#include <savorymount/limits/grant_account.hpp>

#include <algorithm>
#include <cmath>

namespace savorymount::limits
{

namespace
{

/// Floor of the time between asks that the owner refused, against a message per request.
constexpr base::duration min_refusal = std::chrono::milliseconds(50);
constexpr base::duration failure_pause = std::chrono::milliseconds(500);
constexpr base::duration unavailable_retry = std::chrono::seconds(1);
constexpr std::size_t max_late_asks = 8;

double seconds(base::duration it)
{
    return std::chrono::duration<double>(it).count();
}

} // namespace

grant_account::grant_account(std::uint64_t rate, std::uint64_t burst, limit_timing timing,
                             grant_sizing sizing)
    : rate_(rate), burst_(burst), timing_(timing), sizing_(sizing)
{
}

void grant_account::configure(std::uint64_t rate, std::uint64_t burst)
{
    // A refusal under the old values says nothing about the new ones.
    if (rate != rate_ || burst != burst_)
        refused_until_ = {};
    rate_ = rate;
    burst_ = burst;
}

void grant_account::owner_known(base::time_point now, std::uint64_t fence, bool reachable)
{
    advance(now);
    if (fence < fence_)
        return;
    reachable_ = reachable;
    if (fence == fence_)
        return;
    fence_ = fence;
    ask_.reset();
    late_asks_.clear();
    refused_until_ = {};
    ahead_refused_until_ = {};
    failed_until_ = {};
    for (auto& [key, it] : grants_)
    {
        if (!it.closed)
            close(now, it);
        // The older owner no longer counts.
        it.report_due.reset();
    }
    std::erase_if(grants_, [](auto const& it) { return it.second.running == 0; });
}

admission grant_account::admit(base::time_point now, std::uint64_t tokens, bool first_attempt)
{
    advance(now);
    if (tokens > burst_)
        return {admission::verdict::too_large, 0, {}};
    if (first_attempt)
        note_demand(now, tokens);
    auto const free = free_tokens(now);
    if (free >= tokens)
    {
        auto const reservation = reserve(now, tokens);
        ask_ahead(now);
        return {admission::verdict::admitted, reservation, {}};
    }
    if (fence_ == 0 || !reachable_)
        return {admission::verdict::unavailable, 0, unavailable_retry};
    if (now < failed_until_)
        return {admission::verdict::unavailable, 0, failed_until_ - now};
    auto const missing = tokens - free;
    if (now < refused_until_ && missing >= refused_tokens_)
    {
        auto wait = refused_until_ - now;
        if (rate_ > 0)
            wait += base::duration((missing - refused_tokens_) * 1'000'000 / rate_);
        return {admission::verdict::refused, 0, wait};
    }
    ask(now, missing);
    return {admission::verdict::waiting, 0, {}};
}

void grant_account::complete(base::time_point now, std::uint64_t reservation, std::uint64_t used)
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
        auto const here = last ? used : std::min(used, parts[n].tokens);
        used -= here;
        auto const held_grant = grants_.find(parts[n].key);
        if (held_grant == grants_.end())
            continue;
        auto& it = held_grant->second;
        // What was reported as used stays so.
        auto const counted = std::max(here, parts[n].used);
        it.running -= parts[n].tokens - parts[n].used;
        it.used += counted - parts[n].used;
        auto const left = parts[n].tokens - std::min(counted, parts[n].tokens);
        (it.closed ? it.unused : it.free) += left;
        report_later(now, it);
        close_if_used_up(now, it);
    }
}

void grant_account::progress(base::time_point now, std::uint64_t reservation, std::uint64_t used)
{
    advance(now);
    auto const found = reservations_.find(reservation);
    if (found == reservations_.end())
        return;
    for (auto& it : found->second)
    {
        auto const here = std::min(used, it.tokens);
        used -= here;
        auto const held_grant = grants_.find(it.key);
        if (held_grant == grants_.end() || here <= it.used)
            continue;
        held_grant->second.running -= here - it.used;
        held_grant->second.used += here - it.used;
        it.used = here;
        report_later(now, held_grant->second);
    }
}

void grant_account::grant_received(base::time_point now, std::uint64_t request,
                                   token_grant const& received)
{
    advance(now);
    auto const answered = take_ask(request);
    if (!answered || received.fence < fence_)
        return;
    if (received.fence > fence_)
        owner_known(now, received.fence, true);
    held it;
    it.issued = received;
    it.expiry = answered->asked + std::min(received.lifetime, timing_.grant_lifetime);
    it.free = received.tokens;
    auto const key = next_key_++;
    auto& kept = grants_.emplace(key, it).first->second;
    if (kept.expiry <= now)
        close(now, kept);
}

void grant_account::grant_refused(base::time_point now, std::uint64_t request,
                                  base::duration retry_after)
{
    advance(now);
    auto const answered = take_ask(request);
    if (!answered)
        return;
    auto const until = now + std::max(retry_after, min_refusal);
    if (answered->least == 0)
    {
        // Requests may still get what they need.
        ahead_refused_until_ = until;
        return;
    }
    refused_until_ = until;
    refused_tokens_ = answered->least;
}

void grant_account::grant_failed(base::time_point now, std::uint64_t request)
{
    advance(now);
    if (!ask_ || ask_->request != request)
        return;
    ask_lost(now);
}

std::vector<grant_action> grant_account::actions(base::time_point now)
{
    advance(now);
    std::vector<grant_action> out;
    if (ask_ && !ask_->sent)
    {
        ask_->sent = true;
        // The grant's lifetime counts from before the ask is sent.
        ask_->asked = now;
        out.emplace_back(ask_for_grant{ask_->request, fence_, ask_->tokens, ask_->least});
    }
    for (auto it = grants_.begin(); it != grants_.end();)
    {
        auto& grant = it->second;
        if (grant.report_due && *grant.report_due <= now)
        {
            grant.report_due.reset();
            out.emplace_back(report_use{fence_, grant.issued.id, grant.used, grant.unused});
        }
        auto const finished = grant.closed && grant.running == 0 && !grant.report_due;
        it = finished ? grants_.erase(it) : std::next(it);
    }
    return out;
}

std::optional<base::time_point> grant_account::next_tick() const
{
    std::optional<base::time_point> out;
    auto const consider = [&out](base::time_point at)
    {
        if (!out || at < *out)
            out = at;
    };
    for (auto const& [key, it] : grants_)
    {
        if (!it.closed)
            consider(it.expiry);
        if (it.report_due)
            consider(*it.report_due);
    }
    if (ask_ && ask_->sent)
        consider(ask_->asked + sizing_.ask_timeout);
    return out;
}

std::uint64_t grant_account::available(base::time_point now)
{
    advance(now);
    return free_tokens(now);
}

void grant_account::advance(base::time_point now)
{
    for (auto& [key, it] : grants_)
    {
        if (!it.closed && it.expiry <= now)
            close(now, it);
    }
    if (ask_ && ask_->sent && ask_->asked + sizing_.ask_timeout <= now)
        ask_lost(now);
    auto const forget = [&](open_ask const& it)
    {
        return it.asked + timing_.grant_lifetime <= now;
    };
    while (!late_asks_.empty() && (forget(late_asks_.front()) || late_asks_.size() > max_late_asks))
        late_asks_.pop_front();
}

void grant_account::ask_lost(base::time_point now)
{
    late_asks_.push_back(*ask_);
    ask_.reset();
    failed_until_ = now + failure_pause;
}

void grant_account::close(base::time_point now, held& it)
{
    it.closed = true;
    it.unused += it.free;
    it.free = 0;
    if (it.issued.fence == fence_)
        it.report_due = now;
}

void grant_account::report_later(base::time_point now, held& it)
{
    if (it.closed && !it.report_due && it.issued.fence == fence_)
        it.report_due = now + sizing_.report_interval;
}

void grant_account::close_if_used_up(base::time_point now, held& it)
{
    if (!it.closed && it.free == 0 && it.running == 0)
        close(now, it);
}

void grant_account::note_demand(base::time_point now, std::uint64_t tokens)
{
    auto const elapsed = std::max(now - demand_updated_, base::duration::zero());
    demand_tokens_ *= std::exp(-seconds(elapsed) / seconds(sizing_.demand_memory));
    demand_tokens_ += static_cast<double>(tokens);
    demand_updated_ = now;
}

std::uint64_t grant_account::ahead_tokens(base::time_point now) const
{
    auto const elapsed = std::max(now - demand_updated_, base::duration::zero());
    auto const memory = seconds(sizing_.demand_memory);
    auto const per_second = demand_tokens_ * std::exp(-seconds(elapsed) / memory) / memory;
    auto const wanted = per_second * seconds(sizing_.ahead);
    auto const bound = static_cast<double>(burst_) * sizing_.burst_fraction;
    return static_cast<std::uint64_t>(std::min(wanted, bound));
}

void grant_account::ask(base::time_point now, std::uint64_t missing)
{
    if (ask_ && ask_->sent)
        return;
    if (!ask_)
    {
        ask_ = open_ask{next_request_++, now, missing + ahead_tokens(now), missing, false};
        return;
    }
    // Several requests that wait for the same ask need the sum.
    ask_->tokens = std::min(ask_->tokens + missing, burst_);
    ask_->least = ask_->least == 0 ? missing : std::min(ask_->least, missing);
}

void grant_account::ask_ahead(base::time_point now)
{
    if (ask_ || fence_ == 0 || !reachable_ || now < failed_until_ || now < refused_until_ ||
        now < ahead_refused_until_)
        return;
    auto const wanted = ahead_tokens(now);
    // Grants that end soon do not count as drawn ahead.
    auto const there = free_tokens(now + timing_.grant_lifetime / 4);
    if (wanted == 0 || there * 2 >= wanted)
        return;
    ask_ = open_ask{next_request_++, now, wanted - there, 0, false};
}

std::uint64_t grant_account::free_tokens(base::time_point until) const
{
    std::uint64_t out = 0;
    for (auto const& [key, it] : grants_)
    {
        if (!it.closed && it.expiry > until)
            out += it.free;
    }
    return out;
}

std::uint64_t grant_account::reserve(base::time_point now, std::uint64_t tokens)
{
    auto const reservation = next_reservation_++;
    auto& parts = reservations_[reservation];
    for (auto& [key, it] : grants_)
    {
        if (tokens == 0)
            break;
        if (it.closed || it.expiry <= now || it.free == 0)
            continue;
        auto const taken = std::min(tokens, it.free);
        it.free -= taken;
        it.running += taken;
        tokens -= taken;
        parts.push_back({key, taken});
    }
    return reservation;
}

std::optional<grant_account::open_ask> grant_account::take_ask(std::uint64_t request)
{
    if (ask_ && ask_->request == request)
    {
        auto const out = ask_;
        ask_.reset();
        return out;
    }
    for (auto it = late_asks_.begin(); it != late_asks_.end(); ++it)
    {
        if (it->request != request)
            continue;
        auto const out = *it;
        late_asks_.erase(it);
        return out;
    }
    return std::nullopt;
}

} // namespace savorymount::limits
