#include <savorymount/routing/baselines.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace savorymount::routing
{
namespace
{

bool is_usable(route_request const& request, candidate_set const& upstreams, upstream_id upstream)
{
    if (std::find(request.tried.begin(), request.tried.end(), upstream) != request.tried.end())
        return false;
    return !upstreams.traffic_share || upstreams.traffic_share(upstream) > 0.0;
}

std::uint64_t estimated_prompt_tokens(route_request const& request)
{
    // Baselines assume that no block is cached, and four bytes per token as `router_options` does.
    return request.prefix == nullptr ? 0 : request.prefix->text_bytes / 4;
}

/// Returns the first usable member at or after `position` in pool order.
ranked_upstreams first_usable_from(route_request const& request, candidate_set const& upstreams,
                                   std::size_t position)
{
    ranked_upstreams out;
    std::size_t const size = upstreams.pool == nullptr ? 0 : upstreams.pool->size();
    for (std::size_t i = 0; i < size && out.empty(); ++i)
    {
        upstream_id const id = upstreams.pool->at((position + i) % size);
        if (is_usable(request, upstreams, id))
            out.push_back({id, {}, 0, estimated_prompt_tokens(request), 0});
    }
    return out;
}

/// The last message is rarely sent twice, so its digest would not repeat.
std::uint64_t digest_without_last_message(prompt_prefix const& prefix)
{
    if (prefix.digests.empty())
        return 0;
    if (prefix.message_ends.size() < 2)
        return prefix.digests.back();
    return prefix.digests[prefix.message_ends[prefix.message_ends.size() - 2] - 1];
}

} // namespace

routing_policy make_random_policy(base::random_source& random)
{
    return [&random](base::time_point, route_request const& request, candidate_set const& upstreams)
    {
        bool const empty = upstreams.pool == nullptr || upstreams.pool->size() == 0;
        return first_usable_from(request, upstreams,
                                 empty ? 0 : random.uniform_below(upstreams.pool->size()));
    };
}

routing_policy make_round_robin_policy()
{
    return [next = std::size_t{0}](base::time_point, route_request const& request,
                                   candidate_set const& upstreams) mutable
    {
        bool const empty = upstreams.pool == nullptr || upstreams.pool->size() == 0;
        return first_usable_from(request, upstreams, empty ? 0 : next++ % upstreams.pool->size());
    };
}

routing_policy make_least_loaded_policy(upstream_load const& load, base::random_source& random)
{
    return [&load, &random](base::time_point now, route_request const& request,
                            candidate_set const& upstreams)
    {
        ranked_upstreams out;
        std::size_t const size = upstreams.pool == nullptr ? 0 : upstreams.pool->size();
        // A random start keeps router instances from all choosing the same idle upstream.
        std::size_t const start = size == 0 ? 0 : random.uniform_below(size);
        load_estimate least;
        for (std::size_t i = 0; i < size; ++i)
        {
            upstream_id const id = upstreams.pool->at((start + i) % size);
            if (!is_usable(request, upstreams, id))
                continue;
            load_estimate const it = load.estimate(now, id);
            if (!out.empty() && std::pair(it.queued_tokens, it.requests) >=
                                    std::pair(least.queued_tokens, least.requests))
                continue;
            least = it;
            out.assign(1, {id, {}, 0, estimated_prompt_tokens(request), 0});
        }
        return out;
    };
}

routing_policy make_consistent_hash_policy()
{
    return [preferred = std::vector<upstream_id>()](base::time_point, route_request const& request,
                                                    candidate_set const& upstreams) mutable
    {
        ranked_upstreams out;
        if (upstreams.pool == nullptr || request.prefix == nullptr)
            return out;
        upstreams.pool->ranked_members(digest_without_last_message(*request.prefix),
                                       upstreams.pool->size(), preferred);
        for (upstream_id id : preferred)
        {
            if (!is_usable(request, upstreams, id))
                continue;
            out.push_back({id, {}, 0, estimated_prompt_tokens(request), 0});
            return out;
        }
        return out;
    };
}

} // namespace savorymount::routing
