#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/routing/upstream_id.hpp>

#include <cstddef>
#include <vector>

namespace savorymount::routing
{

/// Tracks the recent work that this router instance sent to each upstream. All router instances see
/// a similar mix of requests, so they agree on which upstreams get more than the mean, whereas each
/// sees a different momentary load.
class upstream_work
{
public:
    explicit upstream_work(base::duration half_life) : half_life_(half_life) {}

    /// Adds the work of one request, in any unit.
    void add(base::time_point now, upstream_id upstream, double work);

    void reset(upstream_id upstream);

    /// The upstream's work divided by the mean over `pool_size` upstreams. Close to 1 while there
    /// are few requests per upstream.
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
