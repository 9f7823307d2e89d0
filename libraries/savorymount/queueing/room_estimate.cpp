#include <savorymount/queueing/room_estimate.hpp>

#include <algorithm>

namespace savorymount::queueing
{
namespace
{

/// Part of an engine's slots that the most urgent requests may use as a queue at the engine, where
/// they go ahead of those that wait there already.
constexpr double urgent_queue_ratio = 0.1;

} // namespace

service_room estimate_room(std::vector<engine_places> const& engines, std::size_t instances)
{
    service_room out;
    double requests = 0;
    double own_requests = 0;
    for (auto const& it : engines)
    {
        requests += it.requests;
        own_requests += it.own_requests;
        if (it.closed)
            continue;
        auto const free = std::max(0.0, it.slots - it.requests);
        auto const queue = std::max(1.0, it.slots * urgent_queue_ratio);
        out.free += it.requests_wait ? 0 : free;
        out.free_for_most_urgent += std::max(0.0, it.slots + queue - it.requests);
    }
    double const even_part = 1 / static_cast<double>(std::max<std::size_t>(instances, 1));
    bool const others_seen = requests > own_requests;
    double const part = others_seen ? std::max(even_part, own_requests / requests) : even_part;
    out.own_part = out.free * part;
    return out;
}

bool may_begin(service_room const& room, bool most_urgent, double reserve)
{
    if (most_urgent)
        return room.free_for_most_urgent >= 1;
    if (reserve <= 0)
        return room.free >= 1;
    return room.own_part >= reserve;
}

} // namespace savorymount::queueing
