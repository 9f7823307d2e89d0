#include <savorymount/routing/upstream_work.hpp>

#include <cmath>

namespace savorymount::routing
{
namespace
{

/// Prior: work of this many average requests that is added for each upstream.
constexpr double prior_requests = 4;

} // namespace

upstream_work::work_counter upstream_work::decayed(base::time_point now,
                                                   work_counter const& it) const
{
    if (now <= it.updated_at || it.requests == 0)
        return it;
    double const age = static_cast<double>((now - it.updated_at).count());
    auto const decay =
        static_cast<float>(std::exp2(-age / static_cast<double>(half_life_.count())));
    return {it.work * decay, it.requests * decay, now};
}

void upstream_work::add(base::time_point now, upstream_id upstream, double work)
{
    if (upstream >= counters_.size())
        counters_.resize(upstream + 1);
    for (work_counter* const it : {&counters_[upstream], &total_})
    {
        *it = decayed(now, *it);
        it->work += static_cast<float>(work);
        it->requests += 1;
        it->updated_at = now;
    }
}

void upstream_work::reset(upstream_id upstream)
{
    if (upstream < counters_.size())
        counters_[upstream] = {};
}

double upstream_work::relative_to_mean(base::time_point now, upstream_id upstream,
                                       std::size_t pool_size) const
{
    work_counter const total = decayed(now, total_);
    if (total.requests <= 0 || total.work <= 0 || pool_size == 0)
        return 1;
    double const prior_work = prior_requests * total.work / total.requests;
    double const work = upstream < counters_.size() ? decayed(now, counters_[upstream]).work : 0.0;
    return (work + prior_work) / (total.work / static_cast<double>(pool_size) + prior_work);
}

} // namespace savorymount::routing
