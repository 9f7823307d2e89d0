#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/routing/upstream_id.hpp>

#include <cstddef>
#include <vector>

namespace savorymount::routing
{

/// Work that this entry sent to each upstream in the last minutes. All entries send similar mixes,
/// so they agree on which upstreams get more than their share, while momentary load looks different
/// to each of them.
class upstream_share
{
public:
    explicit upstream_share(base::duration half_life) : half_life_(half_life) {}

    /// Adds the work of one request, in any unit.
    void add(base::time_point now, upstream_id upstream, double work);

    void forget(upstream_id upstream);

    /// The upstream's work relative to the mean of `pool_size` upstreams: 1 is an even share. Close
    /// to 1 as long as there are few requests per upstream.
    double relative(base::time_point now, upstream_id upstream, std::size_t pool_size) const;

    std::size_t memory_bytes() const { return upstreams_.capacity() * sizeof(amount); }

private:
    struct amount
    {
        float work = 0;
        float requests = 0;
        base::time_point at{};
    };

    amount decayed(base::time_point now, amount const& it) const;

    std::vector<amount> upstreams_;
    amount total_;
    base::duration half_life_;
};

} // namespace savorymount::routing
