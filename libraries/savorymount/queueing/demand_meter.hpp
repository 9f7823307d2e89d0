#pragma once

#include <savorymount/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>

namespace savorymount::queueing
{

/// Measures, by urgency, how many requests arrive at this instance and how long they stay at their
/// engine, over the last seconds.
class demand_meter
{
public:
    /// Records a request of this urgency; 0 is the most urgent.
    void arrived(base::time_point now, std::int32_t urgency);
    /// Records that a request began at an engine.
    void began(std::int32_t urgency);
    /// Records that a request ended at its engine after `held`.
    void ended(std::int32_t urgency, base::duration held);

    /// Places that requests more urgent than this are likely to need soon, beyond those that they
    /// have.
    double reserve_for(base::time_point now, std::int32_t urgency) const;

    /// Requests of this instance at engines.
    std::size_t running() const { return running_; }

private:
    struct demand
    {
        /// Arrivals, each of which loses its weight over time.
        double arrivals = 0;
        base::time_point updated_at{};
        /// Mean time of a request at its engine; zero until one has ended.
        base::duration held{};
        std::size_t running = 0;
    };

    std::map<std::int32_t, demand> by_urgency_;
    std::size_t running_ = 0;
};

} // namespace savorymount::queueing
