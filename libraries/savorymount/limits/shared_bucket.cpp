#include <savorymount/limits/shared_bucket.hpp>

#include <algorithm>
#include <cmath>

namespace savorymount::limits
{
namespace
{

using namespace std::chrono_literals;

// An instance that hears of no other may be cut off from all of them, or they may be down. It uses
// this part of its fair share, and the others leave it as much.
constexpr double isolated_part = 0.5;

// So few instances hear of each other sooner than they could exceed the limit by much.
constexpr std::size_t few_instances = 8;
// Within this time the others may not have heard of a request.
constexpr base::duration telling_time = 500ms;
// A single request passes when so large a part of the instances could each admit its like.
constexpr double spare_part = 0.5;
// An instance may take more of what is left than it had before, so that shares can move.
constexpr double share_surplus = 1.5;

double seconds(base::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

shared_bucket::shared_bucket(base::time_point now, bucket_contract const& contract,
                             double initial_part)
    : contract_(contract), window_(contract.window), own_window_(contract.window),
      untold_(telling_time), level_(contract.burst * initial_part), created_at_(now),
      refilled_at_(now)
{
    // What was used before is unknown: assume the rate, as the bucket does.
    if (initial_part < 1)
        window_.assume_rate(now, contract.rate);
}

void shared_bucket::set_contract(base::time_point now, bucket_contract const& contract)
{
    refill(now);
    // What was used under a higher limit must not use up the lower one.
    if (contract.rate < contract_.rate && contract_.rate > 0)
        window_.scale(contract.rate / contract_.rate);
    contract_ = contract;
    level_ = std::min(level_, contract_.burst);
}

void shared_bucket::set_instances(base::time_point now, std::size_t instances, std::size_t silent)
{
    refill(now);
    instances_ = std::max<std::size_t>(instances, 1);
    silent_ = std::min(silent, instances_ - 1);
}

bucket_verdict shared_bucket::admit(base::time_point now, double tokens)
{
    if (contract_.rate <= 0)
        return {};
    refill(now);
    bool const windowed = contract_.window > base::duration::zero();
    auto verdict = windowed ? check_window(now, tokens) : bucket_verdict{};
    if (verdict.admitted && (!windowed || silent_ > 0))
        verdict = check_bucket(tokens);
    if (!verdict.admitted)
        return verdict;
    take(now, tokens);
    own_window_.add(now, tokens);
    untold_.add(now, tokens);
    admitted_total_ += tokens;
    return {};
}

bucket_verdict shared_bucket::check_window(base::time_point now, double tokens)
{
    // A request larger than the whole limit passes when nothing else is used.
    auto const wanted = std::min(tokens, window_limit());
    auto const most_used = window_limit() - wanted;
    auto const used = window_.used(now);
    if (used > most_used)
        return {false, window_.time_until(now, most_used)};
    if (!leaves_room_for_others(now, window_limit() - used, wanted))
        return {false, telling_time};
    return {};
}

bool shared_bucket::leaves_room_for_others(base::time_point now, double room, double tokens)
{
    if (instances_ <= few_instances)
        return true;
    auto const count = static_cast<double>(instances_);
    auto const untold = untold_.used(now);
    if (untold <= 0 && tokens * count * spare_part <= room)
        return true;
    auto const all = std::max(window_.used(now), 1.0);
    auto const share = std::clamp(share_surplus * own_window_.used(now) / all, 1 / count, 1.0);
    return untold + tokens <= (room + untold) * share;
}

bucket_verdict shared_bucket::check_bucket(double tokens) const
{
    // A request larger than what the bucket ever holds passes when the bucket is full.
    double const needed = std::min(tokens, contract_.burst);
    if (level_ >= needed)
        return {};
    double const wait = (needed - level_) / std::max(own_rate(), 1.0);
    return {false, base::duration(static_cast<std::int64_t>(std::ceil(wait * 1e6)))};
}

void shared_bucket::take(base::time_point now, double tokens)
{
    window_.add(now, tokens);
    level_ -= tokens;
    // The window may admit more than the bucket; the bucket must be usable when it binds again.
    if (contract_.window > base::duration::zero())
        level_ = std::max(level_, 0.0);
}

void shared_bucket::refund(base::time_point now, double tokens)
{
    window_.add(now, -tokens);
    own_window_.add(now, -tokens);
    untold_.add(now, -tokens);
    level_ = std::min(level_ + tokens, contract_.burst);
    admitted_total_ -= tokens;
}

void shared_bucket::report(base::time_point now, std::string const& incarnation,
                           base::time_point started, double total)
{
    refill(now);
    auto const [known, first] = reported_.try_emplace(incarnation, 0.0);
    if (first && started < created_at_)
        known->second = total;
    take(now, total - known->second);
    level_ = std::min(level_, contract_.burst);
    known->second = total;
}

double shared_bucket::level(base::time_point now)
{
    refill(now);
    if (contract_.window > base::duration::zero())
        return window_limit() - window_.used(now);
    return level_;
}

double shared_bucket::window_limit() const
{
    return contract_.rate * seconds(contract_.window) + contract_.burst;
}

void shared_bucket::refill(base::time_point now)
{
    if (now <= refilled_at_)
        return;
    level_ = std::min(level_ + own_rate() * seconds(now - refilled_at_), contract_.burst);
    refilled_at_ = now;
}

double shared_bucket::own_rate() const
{
    auto const all = static_cast<double>(instances_);
    bool const alone = silent_ > 0 && silent_ + 1 == instances_;
    if (alone)
        return contract_.rate * isolated_part / all;
    return contract_.rate * (all - isolated_part * static_cast<double>(silent_)) / all;
}

} // namespace savorymount::limits
