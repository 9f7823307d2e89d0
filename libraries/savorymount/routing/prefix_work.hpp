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
    /// Work counts half after `half_life`; `places` is rounded up to a power of two.
    prefix_work(std::size_t places, base::duration half_life);

    /// Adds the work of one request, in any unit, to the total.
    void add_total(base::time_point now, double work);

    /// Notes that this work also belongs to the prefix with this digest.
    void add(base::time_point now, std::uint64_t digest, double work);

    /// Share of the total work, between 0 and 1. The prefix is taken to have caused the work of
    /// `prior` average requests more than was seen, so that little evidence gives a high share; 1
    /// without any.
    double share(base::time_point now, std::uint64_t digest, double prior) const;

    /// Recent requests with this prefix, fading with the half-life.
    double requests(base::time_point now, std::uint64_t digest) const;

    std::size_t memory_bytes() const { return places_.capacity() * sizeof(place); }

private:
    struct place
    {
        std::uint64_t digest = 0;
        float work = 0;
        float requests = 0;
        base::time_point at{};
    };

    place decayed(base::time_point now, place const& it) const;
    place const* find(std::uint64_t digest) const;
    std::size_t first_of(std::uint64_t digest) const;

    std::vector<place> places_;
    place total_;
    base::duration half_life_;
};

} // namespace savorymount::routing
