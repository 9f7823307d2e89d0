#include <savorymount/gateway/placement.hpp>
#include <savorymount/routing/engine_placement.hpp>
#include <savorymount/routing/service_placement.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::gateway
{
namespace
{

placed_request make_placement(cluster_state const& cluster, base::time_point now,
                              admitted_request const& admitted, std::string const& upstream)
{
    placed_request out;
    auto const* const state = cluster.upstreams().find(upstream);
    out.upstream = state->record;
    out.upstream_requests = state->active_requests(now);
    out.request.upstream = upstream;
    out.request.workspace = admitted.workspace == nullptr ? "" : admitted.workspace->name;
    out.request.priority = priority_of(admitted);
    return out;
}

/// The scope by the newest configuration: a request that waited may have been admitted under an
/// older one, and a part that it makes or uses now belongs to the newest. A workspace that was
/// isolated when the request was admitted stays so for it.
std::string cache_scope_of(cluster_state const& cluster, admitted_request const& admitted)
{
    auto const& newest = cluster.deployment() ? *cluster.deployment() : *admitted.deployment;
    if (admitted.workspace == nullptr)
        return newest.cache_scope("");
    bool const was_isolated = admitted.workspace->isolated;
    return was_isolated ? configuration::isolated_cache_scope(admitted.workspace->name)
                        : newest.cache_scope(admitted.workspace->name);
}

std::optional<placed_request> place_prompt(base::time_point now, cluster_state& cluster,
                                           admitted_request const& admitted,
                                           caller_request const& request,
                                           configuration::service_description const& service,
                                           upstream_constraints const& constraints)
{
    auto const* const store = admitted.deployment->find_cache_store();
    bool const use_store = store != nullptr && cluster.cache_store_reachable();
    routing::engine_pool_config const pool{
        service.name,
        cluster.settings().data_centre,
        static_cast<double>(service.cache_tokens),
        use_store ? store->address : "",
        cluster.settings().max_old_version_time,
        cluster.oldest_shared_version(now, request.prompt->model)};
    routing::engine_request const placement_request{
        *request.prompt, cache_scope_of(cluster, admitted), constraints.tried_upstreams,
        constraints.software_version, admitted.route->target_event_gap};
    auto const choice = routing::choose_engine(now, pool, placement_request, cluster.upstreams(),
                                               cluster.part_locations(), cluster.desired_weights());
    if (!choice)
        return std::nullopt;
    auto out = make_placement(cluster, now, admitted, choice->upstream);
    out.size = choice->size;
    out.expected_wait = choice->expected_wait;
    auto const& digests = choice->digests;
    bool const store_prefix =
        choice->write_to_store && digests.size() > 1 &&
        cluster.part_locations().begin_store_write(now, digests[digests.size() - 2]);
    out.request.engine =
        engine_options{choice->version, choice->salt, choice->source_address,
                       store_prefix ? pool.store_address : "", choice->source_engine};
    cluster.record_sent_parts(now, digests, choice->upstream);
    return out;
}

} // namespace

std::int32_t priority_of(admitted_request const& admitted)
{
    auto const workspace_priority =
        admitted.workspace == nullptr ? std::nullopt : admitted.workspace->priority;
    return std::clamp(workspace_priority.value_or(admitted.route->priority), 0, max_priority);
}

std::string choose_service(configuration::service_route const& route, base::random_source& random)
{
    double total = 0;
    for (auto const& it : route.shares)
        total += it.weight;
    double remaining_weight = random.uniform_real() * total;
    for (auto const& it : route.shares)
    {
        remaining_weight -= it.weight;
        if (remaining_weight < 0)
            return it.service;
    }
    return route.shares.back().service;
}

std::optional<placed_request>
place_request(base::time_point now, cluster_state& cluster, base::random_source& random,
              admitted_request const& admitted, caller_request const& request,
              std::string const& service, upstream_constraints const& constraints)
{
    auto const* const description = admitted.deployment->find_service(service);
    bool const has_prompt = description != nullptr && description->model_engine && request.prompt &&
                            !request.prompt->parts.empty();
    if (has_prompt)
        return place_prompt(now, cluster, admitted, request, *description, constraints);
    routing::service_request const placement_request{service, cluster.settings().data_centre,
                                                     constraints.tried_upstreams,
                                                     constraints.software_version};
    auto const upstream =
        routing::choose_upstream(now, placement_request, cluster.upstreams(), random);
    if (!upstream)
        return std::nullopt;
    return make_placement(cluster, now, admitted, *upstream);
}

} // namespace savorymount::gateway
