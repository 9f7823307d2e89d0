#include <savorymount/gateway/placement.hpp>
#include <savorymount/routing/engine_placement.hpp>
#include <savorymount/routing/service_placement.hpp>

#include <utility>

namespace savorymount::gateway
{
namespace
{

constexpr std::int32_t most_priority = 9;

std::int32_t priority_of(admitted_request const& admitted)
{
    auto const own = admitted.workspace == nullptr ? std::nullopt : admitted.workspace->priority;
    return std::clamp(own.value_or(admitted.route->priority), 0, most_priority);
}

placed_request start_placement(fleet_view const& view, base::time_point now,
                               admitted_request const& admitted, std::string const& upstream)
{
    placed_request out;
    auto const* const state = view.upstreams().find(upstream);
    out.upstream = state->record;
    out.upstream_running = state->active_requests(now);
    out.call.upstream = upstream;
    out.call.workspace = admitted.workspace == nullptr ? "" : admitted.workspace->name;
    out.call.priority = priority_of(admitted);
    return out;
}

std::optional<placed_request> place_prompt(base::time_point now, fleet_view& view,
                                           admitted_request const& admitted,
                                           caller_request const& request,
                                           configuration::service_description const& service,
                                           std::set<std::string> const& tried)
{
    auto const* const store = admitted.deployment->find_cache_store();
    bool const use_store = store != nullptr && view.cache_store_answers();
    routing::engine_pool_config const pool{
        service.name, view.settings().data_centre, static_cast<double>(service.cache_tokens),
        use_store ? store->address : "", view.settings().version_bound};
    bool const walled = admitted.workspace != nullptr && admitted.workspace->isolated;
    routing::engine_request const wanted{*request.prompt, walled ? admitted.workspace->name : "",
                                         tried};
    auto const choice =
        routing::choose_engine(now, pool, wanted, view.upstreams(), view.parts(), view.weights());
    if (!choice)
        return std::nullopt;
    auto out = start_placement(view, now, admitted, choice->upstream);
    out.size = choice->size;
    out.expected_wait = choice->expected_wait;
    auto const& digests = choice->digests;
    bool const keep = choice->write_to_store && digests.size() > 1 &&
                      view.parts().begin_store_write(now, digests[digests.size() - 2]);
    out.call.engine = engine_directions{choice->version, choice->salt, choice->source_address,
                                        keep ? pool.store_address : ""};
    view.parts_sent(now, digests, choice->upstream);
    return out;
}

} // namespace

std::string choose_service(configuration::service_route const& route, base::random_source& random)
{
    double total = 0;
    for (auto const& it : route.shares)
        total += it.weight;
    double at = random.uniform_real() * total;
    for (auto const& it : route.shares)
    {
        at -= it.weight;
        if (at < 0)
            return it.service;
    }
    return route.shares.back().service;
}

std::optional<placed_request> place(base::time_point now, fleet_view& view,
                                    base::random_source& random, admitted_request const& admitted,
                                    caller_request const& request, std::string const& service,
                                    std::set<std::string> const& tried)
{
    auto const* const description = admitted.deployment->find_service(service);
    bool const prompt = description != nullptr && description->model_engine && request.prompt &&
                        !request.prompt->parts.empty();
    if (prompt)
        return place_prompt(now, view, admitted, request, *description, tried);
    routing::service_request const wanted{service, view.settings().data_centre, tried};
    auto const upstream = routing::choose_upstream(now, wanted, view.upstreams(), random);
    if (!upstream)
        return std::nullopt;
    return start_placement(view, now, admitted, *upstream);
}

} // namespace savorymount::gateway
