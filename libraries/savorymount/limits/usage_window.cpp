#include <savorymount/limits/usage_window.hpp>

namespace savorymount::limits
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration slot_length = 100ms;

} // namespace

void usage_window::add(base::time_point now, double tokens)
{
    expire(now);
    if (slots_.empty() || now - slots_.back().start >= slot_length)
        slots_.push_back({now, 0});
    slots_.back().tokens += tokens;
    sum_ += tokens;
}

void usage_window::assume_rate(base::time_point now, double rate)
{
    slots_.clear();
    sum_ = 0;
    auto const per_slot = rate * std::chrono::duration<double>(slot_length).count();
    for (auto at = now - length_ + slot_length; at < now; at += slot_length)
    {
        slots_.push_back({at, per_slot});
        sum_ += per_slot;
    }
}

void usage_window::scale(double factor)
{
    sum_ = 0;
    for (auto& it : slots_)
    {
        it.tokens *= factor;
        sum_ += it.tokens;
    }
}

double usage_window::used(base::time_point now)
{
    expire(now);
    return sum_;
}

base::duration usage_window::time_until_at_most(base::time_point now, double tokens) const
{
    double remaining = sum_;
    for (auto const& it : slots_)
    {
        if (remaining <= tokens)
            break;
        remaining -= it.tokens;
        if (remaining <= tokens)
            return it.start + slot_length + length_ - now;
    }
    return base::duration::zero();
}

void usage_window::expire(base::time_point now)
{
    // A slot counts until its last token has left the window.
    while (!slots_.empty() && now - slots_.front().start >= length_ + slot_length)
    {
        sum_ -= slots_.front().tokens;
        slots_.pop_front();
    }
    if (slots_.empty())
        sum_ = 0;
}

} // namespace savorymount::limits
