#pragma once

#include <cstddef>
#include <vector>

namespace savorymount::queueing
{

/// What an instance knows of the places at one engine.
struct engine_places
{
    double slots = 0;
    /// Running and waiting requests of all instances.
    double requests = 0;
    /// The part of `requests` that belongs to this instance.
    double own_requests = 0;
    /// The engine says that requests wait there, whatever the number of its slots.
    bool requests_wait = false;
    /// The engine takes no request now.
    bool closed = false;

    bool operator==(engine_places const&) const = default;
};

/// The room of a service, in requests.
struct service_room
{
    /// Free places at all engines.
    double free = 0;
    /// Free places, and those in the engines' own queues that the most urgent requests may take.
    double free_for_most_urgent = 0;
    /// This instance's part of the free places.
    double own_part = 0;

    bool operator==(service_room const&) const = default;
};

/// Estimates the room at engines that `instances` instances share. Those that take no request have
/// none, whatever they reported.
service_room estimate_room(std::vector<engine_places> const& engines, std::size_t instances);

/// Whether a request may begin. `reserve` is the number of places that more urgent requests are
/// likely to need soon.
bool may_begin(service_room const& room, bool most_urgent, double reserve);

} // namespace savorymount::queueing
