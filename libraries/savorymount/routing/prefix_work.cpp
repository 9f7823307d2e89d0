#include <savorymount/routing/prefix_work.hpp>

#include <algorithm>
#include <bit>
#include <cmath>

namespace savorymount::routing
{
namespace
{

/// Associativity of the table: number of counters that a digest may use.
constexpr std::size_t ways_per_set = 4;

} // namespace

prefix_work::prefix_work(std::size_t max_prefixes, base::duration half_life)
    : counters_(std::bit_ceil(std::max(max_prefixes, ways_per_set))), half_life_(half_life)
{
}

prefix_work::work_counter prefix_work::decayed(base::time_point now, work_counter const& it) const
{
    if (now <= it.updated_at)
        return it;
    double const age = static_cast<double>((now - it.updated_at).count());
    auto const decay =
        static_cast<float>(std::exp2(-age / static_cast<double>(half_life_.count())));
    return {it.digest, it.work * decay, it.requests * decay, now};
}

std::size_t prefix_work::set_start(std::uint64_t digest) const
{
    return digest & (counters_.size() - 1) & ~(ways_per_set - 1);
}

prefix_work::work_counter const* prefix_work::find(std::uint64_t digest) const
{
    std::size_t const first = set_start(digest);
    for (std::size_t i = first; i < first + ways_per_set; ++i)
    {
        if (counters_[i].digest == digest && counters_[i].requests > 0)
            return &counters_[i];
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
    std::size_t const first = set_start(digest);
    work_counter* selected = nullptr;
    for (std::size_t i = first; i < first + ways_per_set; ++i)
    {
        counters_[i] = decayed(now, counters_[i]);
        if (counters_[i].digest == digest)
        {
            selected = &counters_[i];
            break;
        }
        if (selected == nullptr || counters_[i].work < selected->work)
            selected = &counters_[i];
    }
    if (selected->digest != digest)
        *selected = {digest, 0, 0, now};
    selected->work += static_cast<float>(work);
    selected->requests += 1;
}

double prefix_work::share(base::time_point now, std::uint64_t digest, double prior_requests) const
{
    work_counter const total = decayed(now, total_);
    if (total.requests <= 0 || total.work <= 0)
        return 1;
    work_counter const* const it = find(digest);
    double const work = it == nullptr ? 0 : decayed(now, *it).work;
    double const prior_work = prior_requests * total.work / total.requests;
    return std::min(1.0, (work + prior_work) / (total.work + prior_work));
}

double prefix_work::recent_requests(base::time_point now, std::uint64_t digest) const
{
    work_counter const* const it = find(digest);
    return it == nullptr ? 0 : decayed(now, *it).requests;
}

} // namespace savorymount::routing
