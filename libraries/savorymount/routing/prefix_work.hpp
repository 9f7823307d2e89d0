#pragma once

#include <savorymount/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace savorymount::routing
{

/// Measures how much of this router instance's recent work each prompt prefix causes. Bounded in
/// memory: when a set of the table is full, the prefix with the least work is evicted.
class prefix_work
{
public:
    /// Work decays exponentially with `half_life`. `max_prefixes` is rounded up to a power of two.
    prefix_work(std::size_t max_prefixes, base::duration half_life);

    /// Adds the work of one request, in any unit, to the total.
    void add_total(base::time_point now, double work);

    /// Adds the work of one request to the prefix with this digest.
    void add(base::time_point now, std::uint64_t digest, double work);

    /// Share of the total work, between 0 and 1. Adds the work of `prior_requests` average requests
    /// as a prior, so that the share is high while there are few requests, and 1 without any.
    double share(base::time_point now, std::uint64_t digest, double prior_requests) const;

    /// Number of requests with this prefix, decayed with the half-life.
    double recent_requests(base::time_point now, std::uint64_t digest) const;

    std::size_t memory_bytes() const { return counters_.capacity() * sizeof(work_counter); }

private:
    struct work_counter
    {
        std::uint64_t digest = 0;
        float work = 0;
        float requests = 0;
        base::time_point updated_at{};
    };

    work_counter decayed(base::time_point now, work_counter const& it) const;
    work_counter const* find(std::uint64_t digest) const;
    std::size_t set_start(std::uint64_t digest) const;

    std::vector<work_counter> counters_;
    work_counter total_;
    base::duration half_life_;
};

} // namespace savorymount::routing
