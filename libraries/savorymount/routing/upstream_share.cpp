#include <savorymount/routing/upstream_share.hpp>

#include <cmath>

namespace savorymount::routing
{
namespace
{

/// Average requests that each upstream is taken to have got beyond those seen.
constexpr double prior_requests = 4;

} // namespace

upstream_share::amount upstream_share::decayed(base::time_point now, amount const& it) const
{
    if (now <= it.at || it.requests == 0)
        return it;
    double const age = static_cast<double>((now - it.at).count());
    auto const left = static_cast<float>(std::exp2(-age / static_cast<double>(half_life_.count())));
    return {it.work * left, it.requests * left, now};
}

void upstream_share::add(base::time_point now, upstream_id upstream, double work)
{
    if (upstream >= upstreams_.size())
        upstreams_.resize(upstream + 1);
    for (amount* const it : {&upstreams_[upstream], &total_})
    {
        *it = decayed(now, *it);
        it->work += static_cast<float>(work);
        it->requests += 1;
        it->at = now;
    }
}

void upstream_share::forget(upstream_id upstream)
{
    if (upstream < upstreams_.size())
        upstreams_[upstream] = {};
}

double upstream_share::relative(base::time_point now, upstream_id upstream,
                                std::size_t pool_size) const
{
    amount const total = decayed(now, total_);
    if (total.requests <= 0 || total.work <= 0 || pool_size == 0)
        return 1;
    double const assumed = prior_requests * total.work / total.requests;
    double const own = upstream < upstreams_.size() ? decayed(now, upstreams_[upstream]).work : 0.0;
    return (own + assumed) / (total.work / static_cast<double>(pool_size) + assumed);
}

} // namespace savorymount::routing
