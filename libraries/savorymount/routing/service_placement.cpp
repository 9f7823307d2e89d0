#include <savorymount/routing/service_placement.hpp>

#include <algorithm>

namespace savorymount::routing
{
namespace
{

// Costs are in multiples of the service time of one request.
constexpr double cross_data_centre_cost = 0.5;
// Maximum number of waiting requests per slot of an upstream.
constexpr double max_queue_per_slot = 2.5;
constexpr double max_tie_break_cost = 0.05;

} // namespace

std::optional<std::string> choose_upstream(base::time_point now, service_request const& request,
                                           upstream_table& table, base::random_source& random)
{
    std::optional<std::string> best;
    double best_cost = 0;
    for (auto const* it : table.candidates(now, request.service))
    {
        if (request.tried.contains(it->record.id) ||
            !membership::has_version(it->record, request.software_version))
            continue;
        auto const slots = std::max(1.0, static_cast<double>(it->record.slots));
        auto const running = it->active_requests(now);
        if (running >= slots * (1 + max_queue_per_slot))
            continue;
        // A request for which no slot is free has to wait; an upstream also becomes slower as its
        // slots fill up.
        double cost = std::max(0.0, running + 1 - slots) + 0.3 * running / slots;
        if (it->record.data_centre != request.local_data_centre)
            cost += cross_data_centre_cost;
        cost += random.uniform_real() * max_tie_break_cost;
        if (!best || cost < best_cost)
        {
            best = it->record.id;
            best_cost = cost;
        }
    }
    return best;
}

} // namespace savorymount::routing
