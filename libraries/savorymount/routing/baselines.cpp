#include <savorymount/routing/baselines.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace savorymount::routing
{
namespace
{

bool usable(route_request const& request, candidates const& upstreams, upstream_id upstream)
{
    if (std::find(request.tried.begin(), request.tried.end(), upstream) != request.tried.end())
        return false;
    return !upstreams.share || upstreams.share(upstream) > 0.0;
}

std::uint64_t all_tokens(route_request const& request)
{
    // Baselines expect every block to be computed; four bytes per token as in the router's options.
    return request.prefix == nullptr ? 0 : request.prefix->text_bytes / 4;
}

/// The usable members from `position` on, in the order of the pool.
ranked_choice from_position(route_request const& request, candidates const& upstreams,
                            std::size_t position)
{
    ranked_choice out;
    std::size_t const size = upstreams.pool == nullptr ? 0 : upstreams.pool->size();
    for (std::size_t i = 0; i < size && out.empty(); ++i)
    {
        upstream_id const id = upstreams.pool->at((position + i) % size);
        if (usable(request, upstreams, id))
            out.push_back({id, {}, 0, all_tokens(request), 0});
    }
    return out;
}

/// Digest of the whole prefix: everything but the last message, which is rarely sent twice.
std::uint64_t whole_prefix_digest(prompt_prefix const& prefix)
{
    if (prefix.digests.empty())
        return 0;
    if (prefix.level_ends.size() < 2)
        return prefix.digests.back();
    return prefix.digests[prefix.level_ends[prefix.level_ends.size() - 2] - 1];
}

} // namespace

choose_function make_random_choice(base::random_source& random)
{
    return [&random](base::time_point, route_request const& request, candidates const& upstreams)
    {
        bool const empty = upstreams.pool == nullptr || upstreams.pool->size() == 0;
        return from_position(request, upstreams,
                             empty ? 0 : random.uniform_below(upstreams.pool->size()));
    };
}

choose_function make_round_robin_choice()
{
    return [next = std::size_t{0}](base::time_point, route_request const& request,
                                   candidates const& upstreams) mutable
    {
        bool const empty = upstreams.pool == nullptr || upstreams.pool->size() == 0;
        return from_position(request, upstreams, empty ? 0 : next++ % upstreams.pool->size());
    };
}

choose_function make_least_loaded_choice(upstream_load const& load, base::random_source& random)
{
    return [&load, &random](base::time_point now, route_request const& request,
                            candidates const& upstreams)
    {
        ranked_choice out;
        std::size_t const size = upstreams.pool == nullptr ? 0 : upstreams.pool->size();
        // A random start keeps entries from agreeing on the same idle upstream.
        std::size_t const start = size == 0 ? 0 : random.uniform_below(size);
        load_estimate least;
        for (std::size_t i = 0; i < size; ++i)
        {
            upstream_id const id = upstreams.pool->at((start + i) % size);
            if (!usable(request, upstreams, id))
                continue;
            load_estimate const it = load.estimate(now, id);
            if (!out.empty() && std::pair(it.queued_tokens, it.requests) >=
                                    std::pair(least.queued_tokens, least.requests))
                continue;
            least = it;
            out.assign(1, {id, {}, 0, all_tokens(request), 0});
        }
        return out;
    };
}

choose_function make_consistent_hash_choice()
{
    return [preferred = std::vector<upstream_id>()](base::time_point, route_request const& request,
                                                    candidates const& upstreams) mutable
    {
        ranked_choice out;
        if (upstreams.pool == nullptr || request.prefix == nullptr)
            return out;
        upstreams.pool->preferred(whole_prefix_digest(*request.prefix), upstreams.pool->size(),
                                  preferred);
        for (upstream_id id : preferred)
        {
            if (!usable(request, upstreams, id))
                continue;
            out.push_back({id, {}, 0, all_tokens(request), 0});
            return out;
        }
        return out;
    };
}

} // namespace savorymount::routing
