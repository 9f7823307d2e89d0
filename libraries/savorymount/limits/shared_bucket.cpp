#include <savorymount/limits/shared_bucket.hpp>

#include <algorithm>
#include <cmath>

namespace savorymount::limits
{
namespace
{

// An instance that hears of no other may be cut off from all of them, or they may be down. It uses
// this part of its fair share, and the others leave it as much.
constexpr double isolated_part = 0.5;

double seconds(base::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

shared_bucket::shared_bucket(base::time_point now, bucket_contract const& contract,
                             double initial_part)
    : contract_(contract), level_(contract.burst * initial_part), created_at_(now),
      refilled_at_(now)
{
}

void shared_bucket::set_contract(base::time_point now, bucket_contract const& contract)
{
    refill(now);
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
    // A request larger than what the bucket ever holds passes when the bucket is full.
    double const needed = std::min(tokens, contract_.burst);
    if (level_ < needed)
    {
        double const wait = (needed - level_) / std::max(own_rate(), 1.0);
        return {false, base::duration(static_cast<std::int64_t>(std::ceil(wait * 1e6)))};
    }
    level_ -= tokens;
    admitted_total_ += tokens;
    return {};
}

void shared_bucket::refund(double tokens)
{
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
    level_ -= total - known->second;
    level_ = std::min(level_, contract_.burst);
    known->second = total;
}

double shared_bucket::level(base::time_point now)
{
    refill(now);
    return level_;
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
