#pragma once

#include <savorymount/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace savorymount::routing
{

/// Share of this entry's recent work that each prefix causes. Bounded in memory: of prefixes that
/// compete for a place, the one with less work is forgotten.
class prefix_work
{
public:
    /// Work counts half after `half_life`; `max_prefixes` is rounded up to a power of two.
    prefix_work(std::size_t max_prefixes, base::duration half_life);

    /// Adds the work of one request, in any unit, to the total.
    void add_total(base::time_point now, double work);

    /// Notes that this work also belongs to the prefix with this digest.
    void add(base::time_point now, std::uint64_t digest, double work);

    /// Share of the total work, between 0 and 1. The prefix is taken to have caused the work of
    /// `prior_requests` average requests more than was seen, so that little evidence gives a high
    /// share; 1 without any.
    double share(base::time_point now, std::uint64_t digest, double prior_requests) const;

    /// Recent requests with this prefix, fading with the half-life.
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
