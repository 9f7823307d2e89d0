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
class upstream_work
{
public:
    explicit upstream_work(base::duration half_life) : half_life_(half_life) {}

    /// Adds the work of one request, in any unit.
    void add(base::time_point now, upstream_id upstream, double work);

    void reset(upstream_id upstream);

    /// The upstream's work relative to the mean of `pool_size` upstreams: 1 is an even share. Close
    /// to 1 as long as there are few requests per upstream.
    double relative_to_mean(base::time_point now, upstream_id upstream,
                            std::size_t pool_size) const;

    std::size_t memory_bytes() const { return counters_.capacity() * sizeof(work_counter); }

private:
    struct work_counter
    {
        float work = 0;
        float requests = 0;
        base::time_point updated_at{};
    };

    work_counter decayed(base::time_point now, work_counter const& it) const;

    std::vector<work_counter> counters_;
    work_counter total_;
    base::duration half_life_;
};

} // namespace savorymount::routing
