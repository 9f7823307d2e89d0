#include <savorymount/limits/shared_bucket.hpp>

#include <algorithm>
#include <cmath>

namespace savorymount::limits
{
namespace
{

using namespace std::chrono_literals;

// An instance that receives no reports may be disconnected from all others, or they may be down. It
// uses this fraction of its fair share, and the others set aside as much for it.
constexpr double disconnected_fraction = 0.5;

// Up to this number of instances, reports arrive before the instances together can exceed the limit
// by much, so none is restricted to a share of the remaining limit.
constexpr std::size_t max_instances_without_shares = 8;
constexpr base::duration min_report_delay = 500ms;
// Times over which the use by all other instances, and by those that report directly, is estimated.
// The direct ones tell sooner of a sudden rise.
constexpr base::duration recent_others_window = 2s;
constexpr base::duration recent_direct_window = 1s;
// The other instances may admit this many times what such an estimate says.
constexpr double plausible_growth = 1.5;
// The rest of the allowed overshoot covers requests that are admitted on shares.
constexpr double usable_overshoot = 0.4;
// A single request is admitted if the remaining limit would suffice for the same request at this
// fraction of the instances.
constexpr double min_served_fraction = 0.8;

double seconds(base::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

shared_bucket::shared_bucket(base::time_point now, rate_limit const& limit, double initial_fraction)
    : limit_(limit), usage_(limit.window), local_usage_(limit.window),
      unreported_(min_report_delay), recent_others_(recent_others_window),
      recent_direct_(recent_direct_window), report_delay_(min_report_delay),
      level_(limit.burst * initial_fraction), created_at_(now), refilled_at_(now)
{
    if (initial_fraction >= 1)
        return;
    // Earlier usage is unknown; assume that the rate and part of the burst were used, and that the
    // other instances go on at the rate.
    usage_.assume_rate(now, limit.rate);
    usage_.add(now, limit.burst * (1 - initial_fraction));
    recent_others_.assume_rate(now, limit.rate);
}

void shared_bucket::set_limit(base::time_point now, rate_limit const& limit)
{
    refill(now);
    // Usage under the higher limit must not exhaust the lower one.
    if (limit.rate < limit_.rate && limit_.rate > 0)
        usage_.scale(limit.rate / limit_.rate);
    usage_.set_length(limit.window);
    local_usage_.set_length(limit.window);
    limit_ = limit;
    level_ = std::min(level_, limit_.burst);
}

void shared_bucket::set_reporting(std::size_t direct_instances, base::duration report_delay)
{
    direct_instances_ = std::max<std::size_t>(direct_instances, 1);
    report_delay_ = std::max(report_delay, min_report_delay);
    unreported_.set_length(report_delay_);
}

void shared_bucket::set_instances(base::time_point now, std::size_t instances, std::size_t silent)
{
    refill(now);
    instances_ = std::max<std::size_t>(instances, 1);
    silent_ = std::min(silent, instances_ - 1);
}

void shared_bucket::process_resumed(base::time_point now)
{
    refill(now);
    auto const instances = static_cast<double>(instances_);
    if (instances_ > 1)
        level_ = std::min(level_, limit_.burst * disconnected_fraction / instances);
    silent_ = instances_ - 1;
}

bucket_decision shared_bucket::admit(base::time_point now, double tokens)
{
    if (limit_.rate <= 0)
        return {};
    refill(now);
    bool const has_window = limit_.window > base::duration::zero();
    auto decision = has_window ? check_window(now, tokens) : bucket_decision{};
    if (decision.admitted && (!has_window || silent_ > 0))
        decision = check_bucket(tokens);
    if (!decision.admitted)
        return decision;
    debit(now, tokens);
    local_usage_.add(now, tokens);
    unreported_.add(now, tokens);
    recent_direct_.add(now, tokens);
    admitted_total_ += tokens;
    return {};
}

bucket_decision shared_bucket::check_window(base::time_point now, double tokens)
{
    // A request above the whole limit is admitted when nothing else is used.
    auto const needed = std::min(tokens, window_limit());
    auto const max_used = window_limit() - needed;
    auto const used = usage_.used(now);
    if (used > max_used)
        return {false, usage_.time_until_at_most(now, max_used)};
    if (!within_local_share(now, window_limit() - used, needed))
        return {false, report_delay_};
    return {};
}

bool shared_bucket::within_local_share(base::time_point now, double remaining, double tokens)
{
    if (instances_ <= max_instances_without_shares)
        return true;
    auto const slack = limit_.overshoot * usable_overshoot;
    if (tokens + expected_unseen(now) <= remaining + slack)
        return true;
    auto const count = static_cast<double>(instances_);
    auto const unreported = unreported_.used(now);
    if (unreported <= 0 && tokens * count * min_served_fraction <= remaining)
        return true;
    auto const total_used = std::max(usage_.used(now), 1.0);
    auto const share = std::clamp(local_usage_.used(now) / total_used, 1 / count, 1.0);
    return unreported + tokens <= (remaining + unreported) * share;
}

double shared_bucket::expected_unseen(base::time_point now)
{
    auto const groups = static_cast<double>(instances_) / static_cast<double>(direct_instances_);
    auto const others_rate = recent_others_.used(now) / seconds(recent_others_window);
    auto const direct_rate = recent_direct_.used(now) / seconds(recent_direct_window);
    return std::max(others_rate, direct_rate * groups) * plausible_growth * seconds(report_delay_);
}

bucket_decision shared_bucket::check_bucket(double tokens) const
{
    // A request above the burst is admitted when the bucket is full.
    double const needed = std::min(tokens, limit_.burst);
    if (level_ >= needed)
        return {};
    double const wait = (needed - level_) / std::max(instance_rate(), 1.0);
    return {false, base::duration(static_cast<std::int64_t>(std::ceil(wait * 1e6)))};
}

void shared_bucket::debit(base::time_point now, double tokens)
{
    usage_.add(now, tokens);
    level_ -= tokens;
    // The window may admit more than the bucket holds; the level must not be negative when the
    // bucket applies again.
    if (limit_.window > base::duration::zero())
        level_ = std::max(level_, 0.0);
}

void shared_bucket::refund(base::time_point now, double tokens)
{
    // Without a limit nothing was debited.
    if (limit_.rate <= 0)
        return;
    usage_.add(now, -tokens);
    local_usage_.add(now, -tokens);
    unreported_.add(now, -tokens);
    level_ = std::min(level_ + tokens, limit_.burst);
    admitted_total_ = std::max(admitted_total_ - tokens, 0.0);
}

void shared_bucket::apply_report(base::time_point now, std::string const& incarnation,
                                 base::time_point process_started, double total, bool direct)
{
    refill(now);
    auto const [last_total, first_report] = last_totals_.try_emplace(incarnation, 0.0);
    // Of what such a process admitted, the part since this bucket was created is not known exactly.
    if (first_report && process_started < created_at_)
        last_total->second = total * seconds(created_at_ - process_started) /
                             std::max(seconds(now - process_started), 1e-6);
    auto const admitted = total - last_total->second;
    debit(now, admitted);
    recent_others_.add(now, admitted);
    if (direct)
        recent_direct_.add(now, admitted);
    level_ = std::min(level_, limit_.burst);
    last_total->second = total;
}

double shared_bucket::level(base::time_point now)
{
    refill(now);
    if (limit_.window > base::duration::zero())
        return window_limit() - usage_.used(now);
    return level_;
}

double shared_bucket::window_limit() const
{
    return limit_.rate * seconds(limit_.window) + limit_.burst;
}

void shared_bucket::refill(base::time_point now)
{
    if (now <= refilled_at_)
        return;
    level_ = std::min(level_ + instance_rate() * seconds(now - refilled_at_), limit_.burst);
    refilled_at_ = now;
}

double shared_bucket::instance_rate() const
{
    auto const instances = static_cast<double>(instances_);
    bool const disconnected = silent_ > 0 && silent_ + 1 == instances_;
    if (disconnected)
        return limit_.rate * disconnected_fraction / instances;
    return limit_.rate * (instances - disconnected_fraction * static_cast<double>(silent_)) /
           instances;
}

} // namespace savorymount::limits
