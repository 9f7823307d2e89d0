#include <savorymount/routing/service_placement.hpp>

#include <algorithm>

namespace savorymount::routing
{
namespace
{

// Costs are in units of one request's service time.
constexpr double other_data_centre_cost = 0.5;
// Requests beyond the slots that an upstream may hold waiting, as a multiple of its slots.
constexpr double longest_queue = 2.5;
constexpr double tie_breaker = 0.05;

} // namespace

std::optional<std::string> choose_upstream(base::time_point now, service_request const& request,
                                           upstream_table& table, base::random_source& random)
{
    std::optional<std::string> best;
    double best_cost = 0;
    for (auto const* it : table.candidates(now, request.service))
    {
        if (request.tried.contains(it->record.id))
            continue;
        auto const slots = std::max(1.0, static_cast<double>(it->record.slots));
        auto const running = it->running(now);
        if (running >= slots * (1 + longest_queue))
            continue;
        // A free slot costs nothing; with some slots taken an upstream becomes slower.
        double cost = std::max(0.0, running + 1 - slots) + 0.3 * running / slots;
        if (it->record.data_centre != request.own_data_centre)
            cost += other_data_centre_cost;
        cost += random.uniform_real() * tie_breaker;
        if (!best || cost < best_cost)
        {
            best = it->record.id;
            best_cost = cost;
        }
    }
    return best;
}

} // namespace savorymount::routing
