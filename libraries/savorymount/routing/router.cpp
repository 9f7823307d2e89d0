#include <savorymount/routing/placement_prefixes.hpp>
#include <savorymount/routing/router.hpp>

#include <algorithm>
#include <cmath>

namespace savorymount::routing
{
namespace
{

/// In pools up to this size all members are candidates; larger pools are sampled.
constexpr std::size_t max_full_scan_pool_size = 32;
/// Maximum number of members of a large pool in one partition of a prefix. A prefix that needs more
/// members is split into several partitions, of which each request uses one.
constexpr std::size_t max_placed_members = 16;
/// Additional candidates from a large pool, by rank and at random, to find an idle upstream when
/// the placed ones are overloaded.
constexpr std::size_t extra_ranked_members = 4;
constexpr std::size_t extra_random_members = 4;
/// Capacity of the table of prefix work; only prefixes with much work need to be tracked.
constexpr std::size_t max_tracked_prefixes = 16'384;
/// Work of a request besides its prefill, in equivalent prefill tokens.
constexpr double fixed_work_tokens_per_request = 250;
/// Prior for the work of a prefix that is not the longest placement prefix.
constexpr double prior_requests = 2;
constexpr base::duration busy_share_half_life = std::chrono::seconds(10);
/// Weight of the newest observation in the moving average of placement hit rates.
constexpr double hit_rate_ewma_weight = 0.02;
/// Maximum number of blocks whose hints are looked up per request, besides the binary search for
/// the last hinted block.
constexpr std::size_t max_hint_lookups = 12;
/// Cost added per rank, so that all router instances choose the same one among equal upstreams.
constexpr base::duration cost_per_rank = std::chrono::microseconds(50);

} // namespace

router::router(router_options const& options, base::random_source& random)
    : options_(options), random_(random), hints_(options.hints), load_(options.report_lag),
      prefix_work_(max_tracked_prefixes, options.work_half_life),
      upstream_work_(options.work_half_life)
{
    placement_hit_rates_.fill(options.assumed_placement_hit_rate);
}

router::scored_candidate* router::add_candidate(candidate_set const& upstreams,
                                                route_request const& request, upstream_id upstream)
{
    for (scored_candidate& it : candidates_)
    {
        if (it.upstream == upstream)
            return &it;
    }
    if (std::find(request.tried.begin(), request.tried.end(), upstream) != request.tried.end())
        return nullptr;
    if (std::find(excluded_.begin(), excluded_.end(), upstream) != excluded_.end())
        return nullptr;
    double const share = upstreams.traffic_share ? upstreams.traffic_share(upstream) : 1.0;
    // A share below one admits requests at random, so that slow start limits the number of requests
    // independently of their prefix.
    if (share <= 0.0 || (share < 1.0 && random_.uniform_real() >= share))
    {
        excluded_.push_back(upstream);
        return nullptr;
    }
    candidates_.push_back({upstream, 0.0, 0, 0, candidates_.size(), {}});
    return &candidates_.back();
}

std::size_t router::placement_size(base::time_point now, std::uint64_t digest, bool longest,
                                   std::size_t pool_size) const
{
    // Without observed requests only the longest prefix narrows the placement; otherwise all
    // prompts of a workspace would be placed on one engine. The longest prefix starts with one
    // engine, the same for all router instances.
    double const share = prefix_work_.share(now, digest, longest ? 0.0 : prior_requests);
    double member_count =
        std::ceil(share * options_.placement_headroom * static_cast<double>(pool_size));
    // Rounds up to a power of two, so that router instances with slightly different shares compute
    // the same number.
    member_count = std::exp2(std::ceil(std::log2(std::max(1.0, member_count))));
    if (longest)
        member_count = std::min(member_count, 1.0 + prefix_work_.recent_requests(now, digest));
    return std::clamp<std::size_t>(static_cast<std::size_t>(member_count), 1, pool_size);
}

void router::add_placed_candidates(base::time_point now, route_request const& request,
                                   candidate_set const& upstreams)
{
    prompt_prefix const& prefix = *request.prefix;
    candidate_pool const& pool = *upstreams.pool;
    placement_prefixes const prefixes = placement_prefixes_of(prefix);
    // Each longer prefix selects from the members that the shorter prefix selected, so that prompts
    // with a common prefix share few engines. The number of engines per prefix follows its load.
    bool narrowed = pool.size() <= max_full_scan_pool_size;
    placed_members_.clear();
    for (std::size_t i = 0; narrowed && i < pool.size(); ++i)
        placed_members_.push_back(pool.at(i));
    for (std::uint32_t const end : prefixes)
    {
        std::uint64_t const digest = prefix.digests[end - 1];
        bool const longest = end == prefixes.block_counts[prefixes.count - 1];
        std::size_t const member_count = placement_size(now, digest, longest, pool.size());
        if (!narrowed && member_count > max_placed_members && !longest)
            continue;
        if (!narrowed)
        {
            std::uint64_t const partitions =
                (member_count + max_placed_members - 1) / max_placed_members;
            std::uint64_t const partition = partitions > 1 ? random_.uniform_below(partitions) : 0;
            pool.ranked_members(digest + partition, std::min(member_count, max_placed_members),
                                placed_members_);
            narrowed = true;
        }
        else
        {
            std::sort(placed_members_.begin(), placed_members_.end(),
                      [&pool, digest](upstream_id left, upstream_id right)
                      { return pool.score(digest, left) > pool.score(digest, right); });
            placed_members_.resize(std::min(placed_members_.size(), member_count));
        }
        for (upstream_id const id : placed_members_)
        {
            scored_candidate* const it = add_candidate(upstreams, request, id);
            if (it == nullptr)
                continue;
            it->cached_bytes = options_.assumed_placement_hit_rate * block_end_bytes_[end - 1];
            it->cached_blocks = end;
        }
    }
    // Among equal costs the members selected by the longest prefix come first, in their order.
    std::size_t rank = 0;
    for (upstream_id const id : placed_members_)
    {
        if (scored_candidate* const it = add_candidate(upstreams, request, id))
            it->rank = rank++;
    }
    for (scored_candidate& it : candidates_)
    {
        if (std::find(placed_members_.begin(), placed_members_.end(), it.upstream) ==
            placed_members_.end())
            it.rank = rank++;
    }
}

void router::add_sampled_candidates(route_request const& request, candidate_set const& upstreams)
{
    candidate_pool const& pool = *upstreams.pool;
    if (pool.size() <= max_full_scan_pool_size)
    {
        // A random start distributes requests without a prefix over equal members.
        std::size_t const start = random_.uniform_below(pool.size());
        for (std::size_t i = 0; i < pool.size(); ++i)
            add_candidate(upstreams, request, pool.at((start + i) % pool.size()));
        return;
    }
    bool const prefixed = request.prefix != nullptr && !request.prefix->digests.empty();
    if (prefixed)
    {
        placement_prefixes const prefixes = placement_prefixes_of(*request.prefix);
        std::uint32_t const end = prefixes.block_counts[prefixes.count - 1];
        pool.ranked_members(request.prefix->digests[end - 1],
                            extra_ranked_members + request.tried.size(), placed_members_);
        for (upstream_id const id : placed_members_)
            add_candidate(upstreams, request, id);
    }
    std::size_t const draws = extra_random_members + (prefixed ? 0 : extra_ranked_members);
    for (std::size_t i = 0; i < draws; ++i)
        add_candidate(upstreams, request, pool.at(random_.uniform_below(pool.size())));
}

void router::apply_block_hints(base::time_point now, route_request const& request,
                               candidate_set const& upstreams, std::size_t block)
{
    for (cache_hint const& hint : hints_.find(now, request.prefix->digests[block]))
    {
        // A hinted upstream may have stopped serving the model since the hint was added.
        if (!upstreams.pool->contains(hint.upstream))
            continue;
        scored_candidate* const it = add_candidate(upstreams, request, hint.upstream);
        if (it == nullptr)
            continue;
        it->hinted_blocks = std::max(it->hinted_blocks, block + 1);
        double const age = static_cast<double>(hint.age.count()) /
                           static_cast<double>(options_.hint_half_life.count());
        double const expected = std::exp2(-age) * block_end_bytes_[block];
        if (it->cached_bytes >= expected)
            continue;
        it->cached_bytes = expected;
        it->cached_blocks = block + 1;
    }
}

void router::apply_hints(base::time_point now, route_request const& request,
                         candidate_set const& upstreams)
{
    // An upstream with a block normally has all blocks before it, so binary search finds the last
    // hinted block. An exception only makes the estimate less accurate.
    std::size_t low = 0;
    std::size_t high = request.prefix->digests.size();
    while (low < high)
    {
        std::size_t const middle = low + (high - low) / 2;
        if (hints_.find(now, request.prefix->digests[middle]).size > 0)
            low = middle + 1;
        else
            high = middle;
    }
    std::size_t lookups = 0;
    for (std::size_t block = low; block > 0 && lookups < max_hint_lookups; ++lookups)
    {
        apply_block_hints(now, request, upstreams, block - 1);
        // For long prompts the step grows with the distance from the last hinted block.
        block -= std::min(block, low <= max_hint_lookups ? 1 : 1 + (lookups * low) / 64);
    }
}

void router::compute_costs(base::time_point now, std::size_t pool_size)
{
    double const total = block_end_bytes_.empty() ? 0.0 : block_end_bytes_.back();
    double const per_token = static_cast<double>(options_.prefill_time_per_token.count()) / 1000.0;
    double const per_byte = per_token / options_.bytes_per_token;
    loads_.clear();
    std::size_t busy = 0;
    for (scored_candidate const& it : candidates_)
    {
        loads_.push_back(load_.estimate(now, it.upstream));
        busy += loads_.back().requests > 0 ? 1 : 0;
    }
    update_busy_share(now, busy);
    for (std::size_t i = 0; i < candidates_.size(); ++i)
    {
        scored_candidate& it = candidates_[i];
        load_estimate const& load = loads_[i];
        double const uncached_bytes = std::max(0.0, total - it.cached_bytes);
        double const excess =
            std::max(0.0, upstream_work_.relative_to_mean(now, it.upstream, pool_size) - 1.0);
        double const wait = static_cast<double>(load.queued_tokens) * per_token +
                            static_cast<double>(load.requests) *
                                static_cast<double>(options_.queue_delay_per_request.count());
        double const prefill =
            (uncached_bytes + options_.overload_penalty * busy_share_ * excess * total) * per_byte;
        it.cost = base::duration(
                      static_cast<base::duration::rep>(options_.prefill_weight * prefill + wait)) +
                  cost_per_rank * it.rank;
    }
}

void router::update_busy_share(base::time_point now, std::size_t busy)
{
    if (candidates_.empty())
        return;
    double const share = static_cast<double>(busy) / static_cast<double>(candidates_.size());
    double const age =
        static_cast<double>(std::max(base::duration(0), now - busy_share_updated_at_).count());
    double const decay = std::exp2(-age / static_cast<double>(busy_share_half_life.count()));
    busy_share_ = share + decay * (busy_share_ - share);
    busy_share_updated_at_ = std::max(busy_share_updated_at_, now);
}

ranked_upstreams router::choose(base::time_point now, route_request const& request,
                                candidate_set const& upstreams)
{
    ranked_upstreams out;
    if (upstreams.pool == nullptr || upstreams.pool->size() == 0)
        return out;
    candidates_.clear();
    excluded_.clear();
    block_end_bytes_.clear();
    if (request.prefix != nullptr && !request.prefix->digests.empty())
    {
        double end = 0;
        for (std::uint32_t bytes : request.prefix->block_bytes)
            block_end_bytes_.push_back(end += bytes);
        add_placed_candidates(now, request, upstreams);
        apply_hints(now, request, upstreams);
    }
    add_sampled_candidates(request, upstreams);
    compute_costs(now, upstreams.pool->size());
    std::size_t const length = std::min(options_.max_ranked_upstreams, candidates_.size());
    std::partial_sort(candidates_.begin(),
                      candidates_.begin() + static_cast<std::ptrdiff_t>(length), candidates_.end(),
                      [](scored_candidate const& left, scored_candidate const& right) {
                          return left.cost != right.cost ? left.cost < right.cost
                                                         : left.rank < right.rank;
                      });
    for (std::size_t i = 0; i < length; ++i)
    {
        scored_candidate const& it = candidates_[i];
        double const uncached_bytes =
            block_end_bytes_.empty()
                ? 0.0
                : block_end_bytes_.back() - expected_cached_bytes(*request.prefix, it);
        out.push_back({it.upstream, it.cost, it.cached_blocks,
                       static_cast<std::uint64_t>(
                           std::llround(std::max(0.0, uncached_bytes) / options_.bytes_per_token)),
                       it.hinted_blocks});
    }
    return out;
}

double router::expected_cached_bytes(prompt_prefix const& prefix, scored_candidate const& it) const
{
    // The cost uses the assumed hit rate, so that a prefix that is cached nowhere is still placed
    // on the same upstream by all router instances. The load estimate uses the observed hit rate.
    if (it.hinted_blocks >= it.cached_blocks)
        return it.cached_bytes;
    double out = it.hinted_blocks > 0 ? block_end_bytes_[it.hinted_blocks - 1] : 0.0;
    std::size_t index = 0;
    for (std::uint32_t const end : placement_prefixes_of(prefix))
    {
        double const hit_rate = placement_hit_rates_[index++];
        if (end > it.hinted_blocks && end <= it.cached_blocks)
            out = std::max(out, hit_rate * block_end_bytes_[end - 1]);
    }
    return out;
}

void router::update_placement_hit_rates(prompt_prefix const& prefix, ranked_upstream const& choice,
                                        std::size_t cached)
{
    std::size_t index = 0;
    for (std::uint32_t const end : placement_prefixes_of(prefix))
    {
        double& hit_rate = placement_hit_rates_[index++];
        if (end > choice.hinted_blocks && end <= choice.expected_cached_blocks)
            hit_rate += hit_rate_ewma_weight * ((cached >= end ? 1.0 : 0.0) - hit_rate);
    }
}

void router::sent(base::time_point now, route_request const& request, ranked_upstream const& choice)
{
    load_.sent(now, choice.upstream, choice.expected_prefill_tokens);
    // Engines process requests in order, so later requests find the blocks of this one cached.
    if (request.prefix == nullptr)
        return;
    hints_.add(now, request.prefix->digests, choice.upstream);
    double const work =
        fixed_work_tokens_per_request + static_cast<double>(choice.expected_prefill_tokens);
    upstream_work_.add(now, choice.upstream, work);
    prefix_work_.add_total(now, work);
    for (std::uint32_t const end : placement_prefixes_of(*request.prefix))
        prefix_work_.add(now, request.prefix->digests[end - 1], work);
}

void router::prefill_finished(base::time_point now, ranked_upstream const& choice)
{
    load_.prefill_finished(now, choice.upstream, choice.expected_prefill_tokens);
}

void router::finished(base::time_point now, route_request const& request,
                      ranked_upstream const& choice, std::string_view process_id,
                      std::optional<std::size_t> held_blocks,
                      std::optional<std::size_t> cached_blocks)
{
    load_.finished(now, choice.upstream);
    if (hints_.update_engine_process(now, choice.upstream, process_id))
        load_.reset(choice.upstream);
    if (request.prefix == nullptr)
        return;
    if (cached_blocks)
        update_placement_hit_rates(*request.prefix, choice, *cached_blocks);
    if (!held_blocks)
        return;
    std::span<std::uint64_t const> const digests = request.prefix->digests;
    std::size_t const cached_count = std::min(*held_blocks, digests.size());
    hints_.add(now, digests.first(cached_count), choice.upstream);
    hints_.remove(digests.subspan(cached_count), choice.upstream);
}

void router::load_reported(base::time_point now, upstream_id upstream, std::string_view process_id,
                           load_report const& load)
{
    if (hints_.update_engine_process(now, upstream, process_id))
        load_.reset(upstream);
    load_.report(now, upstream, load);
}

void router::remove_upstream(base::time_point now, upstream_id upstream)
{
    hints_.remove_upstream(now, upstream);
    load_.reset(upstream);
    upstream_work_.reset(upstream);
}

std::size_t router::memory_bytes() const
{
    return hints_.memory_bytes() + load_.memory_bytes() + prefix_work_.memory_bytes() +
           upstream_work_.memory_bytes();
}

} // namespace savorymount::routing
