#include <savorymount/routing/prefix_work.hpp>

#include <algorithm>
#include <bit>
#include <cmath>

namespace savorymount::routing
{
namespace
{

/// Places that a digest may take.
constexpr std::size_t ways = 4;

} // namespace

prefix_work::prefix_work(std::size_t places, base::duration half_life)
    : places_(std::bit_ceil(std::max(places, ways))), half_life_(half_life)
{
}

prefix_work::place prefix_work::decayed(base::time_point now, place const& it) const
{
    if (now <= it.at)
        return it;
    double const age = static_cast<double>((now - it.at).count());
    auto const left = static_cast<float>(std::exp2(-age / static_cast<double>(half_life_.count())));
    return {it.digest, it.work * left, it.requests * left, now};
}

std::size_t prefix_work::first_of(std::uint64_t digest) const
{
    return digest & (places_.size() - 1) & ~(ways - 1);
}

prefix_work::place const* prefix_work::find(std::uint64_t digest) const
{
    std::size_t const first = first_of(digest);
    for (std::size_t i = first; i < first + ways; ++i)
    {
        if (places_[i].digest == digest && places_[i].requests > 0)
            return &places_[i];
    }
    return nullptr;
}

void prefix_work::add_total(base::time_point now, double work)
{
    total_ = decayed(now, total_);
    total_.work += static_cast<float>(work);
    total_.requests += 1;
}

void prefix_work::add(base::time_point now, std::uint64_t digest, double work)
{
    std::size_t const first = first_of(digest);
    place* chosen = nullptr;
    for (std::size_t i = first; i < first + ways; ++i)
    {
        places_[i] = decayed(now, places_[i]);
        if (places_[i].digest == digest)
        {
            chosen = &places_[i];
            break;
        }
        if (chosen == nullptr || places_[i].work < chosen->work)
            chosen = &places_[i];
    }
    if (chosen->digest != digest)
        *chosen = {digest, 0, 0, now};
    chosen->work += static_cast<float>(work);
    chosen->requests += 1;
}

double prefix_work::share(base::time_point now, std::uint64_t digest, double prior) const
{
    place const total = decayed(now, total_);
    if (total.requests <= 0 || total.work <= 0)
        return 1;
    place const* const it = find(digest);
    double const work = it == nullptr ? 0 : decayed(now, *it).work;
    double const assumed = prior * total.work / total.requests;
    return std::min(1.0, (work + assumed) / (total.work + assumed));
}

double prefix_work::requests(base::time_point now, std::uint64_t digest) const
{
    place const* const it = find(digest);
    return it == nullptr ? 0 : decayed(now, *it).requests;
}

} // namespace savorymount::routing
