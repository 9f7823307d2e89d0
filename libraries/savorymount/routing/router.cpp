#include <savorymount/routing/placement.hpp>
#include <savorymount/routing/router.hpp>

#include <algorithm>
#include <cmath>

namespace savorymount::routing
{
namespace
{

/// Pools up to this size are considered whole; larger ones are sampled.
constexpr std::size_t whole_pool = 32;
/// Most members of a large pool that a prefix is placed on. A prefix with more load is split into
/// several placements.
constexpr std::size_t most_placed = 16;
/// Members of a large pool that are considered beyond those, next in the order and at random, to
/// find an idle one for a surplus.
constexpr std::size_t next_members = 4;
constexpr std::size_t random_members = 4;
/// Places for the work of prefixes; only those with much work need one.
constexpr std::size_t work_places = 16'384;
/// Work of a request beyond its prefill, in tokens.
constexpr double work_per_request = 250;
/// Requests that a prefix of an upper level is taken to have had beyond those seen.
constexpr double prior_requests = 2;
/// Age at which the share of busy upstreams counts half.
constexpr base::duration busy_half_life = std::chrono::seconds(10);
/// Weight of the newest observation in the calibration of placements.
constexpr double calibration_step = 0.02;
/// Most blocks whose hints are looked up in one decision, besides the search for the deepest one.
constexpr std::size_t looked_up_blocks = 12;
/// Cost that equals one step in the order of preference, so that equal upstreams are chosen alike
/// by all entries.
constexpr base::duration cost_per_rank = std::chrono::microseconds(50);

} // namespace

router::router(router_options const& options, base::random_source& random)
    : options_(options), random_(random), hints_(options.hints), load_(options.report_lag),
      work_(work_places, options.work_half_life), shares_(options.work_half_life)
{
    placed_hits_.fill(options.placed_confidence);
}

router::considered* router::consider(candidates const& upstreams, route_request const& request,
                                     upstream_id upstream)
{
    for (considered& it : considered_)
    {
        if (it.upstream == upstream)
            return &it;
    }
    if (std::find(request.tried.begin(), request.tried.end(), upstream) != request.tried.end())
        return nullptr;
    if (std::find(rejected_.begin(), rejected_.end(), upstream) != rejected_.end())
        return nullptr;
    double const share = upstreams.share ? upstreams.share(upstream) : 1.0;
    // A share below one is drawn per request, so that slow start limits the number of requests and
    // not their kind.
    if (share <= 0.0 || (share < 1.0 && random_.uniform_real() >= share))
    {
        rejected_.push_back(upstream);
        return nullptr;
    }
    considered_.push_back({upstream, 0.0, 0, 0, considered_.size(), {}});
    return &considered_.back();
}

std::size_t router::wanted_members(base::time_point now, std::uint64_t digest, bool last,
                                   std::size_t pool_size) const
{
    // Without evidence the upper levels don't narrow the choice, since all prefixes of a workspace
    // would meet on one engine. The last level starts with one engine, on which all entries agree.
    double const share = work_.share(now, digest, last ? 0.0 : prior_requests);
    double wanted = std::ceil(share * options_.placement_headroom * static_cast<double>(pool_size));
    // Powers of two, so that the differences between the shares seen by entries rarely change it.
    wanted = std::exp2(std::ceil(std::log2(std::max(1.0, wanted))));
    if (last)
        wanted = std::min(wanted, 1.0 + work_.requests(now, digest));
    return std::clamp<std::size_t>(static_cast<std::size_t>(wanted), 1, pool_size);
}

void router::place(base::time_point now, route_request const& request, candidates const& upstreams)
{
    prompt_prefix const& prefix = *request.prefix;
    candidate_pool const& pool = *upstreams.pool;
    placement const levels = placement_of(prefix);
    // Each level narrows the members that the level above left, so that prompts with a common
    // beginning meet on few engines and a level's engines follow its load.
    bool narrowed = pool.size() <= whole_pool;
    scope_.clear();
    for (std::size_t i = 0; narrowed && i < pool.size(); ++i)
        scope_.push_back(pool.at(i));
    for (std::uint32_t const end : levels)
    {
        std::uint64_t const digest = prefix.digests[end - 1];
        bool const last = end == levels.ends[levels.levels - 1];
        std::size_t const wanted = wanted_members(now, digest, last, pool.size());
        if (!narrowed && wanted > most_placed && !last)
            continue;
        if (!narrowed)
        {
            std::uint64_t const parts = (wanted + most_placed - 1) / most_placed;
            std::uint64_t const part = parts > 1 ? random_.uniform_below(parts) : 0;
            pool.preferred(digest + part, std::min(wanted, most_placed), scope_);
            narrowed = true;
        }
        else
        {
            std::sort(scope_.begin(), scope_.end(),
                      [&pool, digest](upstream_id left, upstream_id right)
                      { return pool.score(digest, left) > pool.score(digest, right); });
            scope_.resize(std::min(scope_.size(), wanted));
        }
        for (upstream_id const id : scope_)
        {
            considered* const it = consider(upstreams, request, id);
            if (it == nullptr)
                continue;
            it->cached_bytes = options_.placed_confidence * ends_[end - 1];
            it->blocks = end;
        }
    }
    // The members of the deepest level come first among equal costs, in its order.
    std::size_t rank = 0;
    for (upstream_id const id : scope_)
    {
        if (considered* const it = consider(upstreams, request, id))
            it->rank = rank++;
    }
    for (considered& it : considered_)
    {
        if (std::find(scope_.begin(), scope_.end(), it.upstream) == scope_.end())
            it.rank = rank++;
    }
}

void router::sample(route_request const& request, candidates const& upstreams)
{
    candidate_pool const& pool = *upstreams.pool;
    if (pool.size() <= whole_pool)
    {
        // A random start spreads requests without a prefix over equal members.
        std::size_t const start = random_.uniform_below(pool.size());
        for (std::size_t i = 0; i < pool.size(); ++i)
            consider(upstreams, request, pool.at((start + i) % pool.size()));
        return;
    }
    bool const prefixed = request.prefix != nullptr && !request.prefix->digests.empty();
    if (prefixed)
    {
        placement const levels = placement_of(*request.prefix);
        std::uint32_t const end = levels.ends[levels.levels - 1];
        pool.preferred(request.prefix->digests[end - 1], next_members + request.tried.size(),
                       scope_);
        for (upstream_id const id : scope_)
            consider(upstreams, request, id);
    }
    std::size_t const draws = random_members + (prefixed ? 0 : next_members);
    for (std::size_t i = 0; i < draws; ++i)
        consider(upstreams, request, pool.at(random_.uniform_below(pool.size())));
}

void router::apply_hints_of_block(base::time_point now, route_request const& request,
                                  candidates const& upstreams, std::size_t block)
{
    for (cache_hint const& hint : hints_.find(now, request.prefix->digests[block]))
    {
        // A hinted upstream held the model once, but may have changed its models since.
        if (!upstreams.pool->contains(hint.upstream))
            continue;
        considered* const it = consider(upstreams, request, hint.upstream);
        if (it == nullptr)
            continue;
        it->hinted_blocks = std::max(it->hinted_blocks, block + 1);
        double const age = static_cast<double>(hint.age.count()) /
                           static_cast<double>(options_.hint_half_life.count());
        double const expected = std::exp2(-age) * ends_[block];
        if (it->cached_bytes >= expected)
            continue;
        it->cached_bytes = expected;
        it->blocks = block + 1;
    }
}

void router::apply_hints(base::time_point now, route_request const& request,
                         candidates const& upstreams)
{
    // Whoever holds a block holds those before it, so the deepest hinted block is found by
    // bisection. Misses of that rule cost a worse guess, never a wrong response.
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
    for (std::size_t block = low; block > 0 && lookups < looked_up_blocks; ++lookups)
    {
        apply_hints_of_block(now, request, upstreams, block - 1);
        // Long prompts are sampled with growing steps: near the end each block counts.
        block -= std::min(block, low <= looked_up_blocks ? 1 : 1 + (lookups * low) / 64);
    }
}

void router::price(base::time_point now, std::size_t pool_size)
{
    double const total = ends_.empty() ? 0.0 : ends_.back();
    double const per_token = static_cast<double>(options_.prefill_per_token.count()) / 1000.0;
    double const per_byte = per_token / options_.bytes_per_token;
    loads_.clear();
    std::size_t busy = 0;
    for (considered const& it : considered_)
    {
        loads_.push_back(load_.estimate(now, it.upstream));
        busy += loads_.back().requests > 0 ? 1 : 0;
    }
    note_busy(now, busy);
    for (std::size_t i = 0; i < considered_.size(); ++i)
    {
        considered& it = considered_[i];
        load_estimate const& load = loads_[i];
        double const missed = std::max(0.0, total - it.cached_bytes);
        double const excess = std::max(0.0, shares_.relative(now, it.upstream, pool_size) - 1.0);
        double const wait = static_cast<double>(load.queued_tokens) * per_token +
                            static_cast<double>(load.requests) *
                                static_cast<double>(options_.delay_per_request.count());
        double const prefill =
            (missed + options_.balance * busy_share_ * excess * total) * per_byte;
        it.cost = base::duration(
                      static_cast<base::duration::rep>(options_.prefill_weight * prefill + wait)) +
                  cost_per_rank * it.rank;
    }
}

void router::note_busy(base::time_point now, std::size_t busy)
{
    if (considered_.empty())
        return;
    double const share = static_cast<double>(busy) / static_cast<double>(considered_.size());
    double const age = static_cast<double>(std::max(base::duration(0), now - busy_at_).count());
    double const left = std::exp2(-age / static_cast<double>(busy_half_life.count()));
    busy_share_ = share + left * (busy_share_ - share);
    busy_at_ = std::max(busy_at_, now);
}

ranked_choice router::choose(base::time_point now, route_request const& request,
                             candidates const& upstreams)
{
    ranked_choice out;
    if (upstreams.pool == nullptr || upstreams.pool->size() == 0)
        return out;
    considered_.clear();
    rejected_.clear();
    ends_.clear();
    if (request.prefix != nullptr && !request.prefix->digests.empty())
    {
        double end = 0;
        for (std::uint32_t bytes : request.prefix->block_bytes)
            ends_.push_back(end += bytes);
        place(now, request, upstreams);
        apply_hints(now, request, upstreams);
    }
    sample(request, upstreams);
    price(now, upstreams.pool->size());
    std::size_t const length = std::min(options_.ranked, considered_.size());
    std::partial_sort(considered_.begin(),
                      considered_.begin() + static_cast<std::ptrdiff_t>(length), considered_.end(),
                      [](considered const& left, considered const& right) {
                          return left.cost != right.cost ? left.cost < right.cost
                                                         : left.rank < right.rank;
                      });
    for (std::size_t i = 0; i < length; ++i)
    {
        considered const& it = considered_[i];
        double const missed =
            ends_.empty() ? 0.0 : ends_.back() - expected_bytes(*request.prefix, it);
        out.push_back({it.upstream, it.cost, it.blocks,
                       static_cast<std::uint64_t>(
                           std::llround(std::max(0.0, missed) / options_.bytes_per_token)),
                       it.hinted_blocks});
    }
    return out;
}

double router::expected_bytes(prompt_prefix const& prefix, considered const& it) const
{
    // The cost prefers the place on which the entries agree, also for a prefix that is cached
    // nowhere. The load estimate needs the work that is really to be expected there.
    if (it.hinted_blocks >= it.blocks)
        return it.cached_bytes;
    double out = it.hinted_blocks > 0 ? ends_[it.hinted_blocks - 1] : 0.0;
    std::size_t level = 0;
    for (std::uint32_t const end : placement_of(prefix))
    {
        double const held = placed_hits_[level++];
        if (end > it.hinted_blocks && end <= it.blocks)
            out = std::max(out, held * ends_[end - 1]);
    }
    return out;
}

void router::calibrate(prompt_prefix const& prefix, ranked_upstream const& choice,
                       std::size_t cached)
{
    std::size_t level = 0;
    for (std::uint32_t const end : placement_of(prefix))
    {
        double& held = placed_hits_[level++];
        if (end > choice.hinted_blocks && end <= choice.expected_blocks)
            held += calibration_step * ((cached >= end ? 1.0 : 0.0) - held);
    }
}

void router::sent(base::time_point now, route_request const& request, ranked_upstream const& choice)
{
    load_.sent(now, choice.upstream, choice.expected_tokens);
    // Engines take requests in turn, so later requests will find the blocks that this one computes.
    if (request.prefix == nullptr)
        return;
    hints_.learn(now, request.prefix->digests, choice.upstream);
    double const work = work_per_request + static_cast<double>(choice.expected_tokens);
    shares_.add(now, choice.upstream, work);
    work_.add_total(now, work);
    for (std::uint32_t const end : placement_of(*request.prefix))
        work_.add(now, request.prefix->digests[end - 1], work);
}

void router::started(base::time_point now, ranked_upstream const& choice)
{
    load_.started(now, choice.upstream, choice.expected_tokens);
}

void router::finished(base::time_point now, route_request const& request,
                      ranked_upstream const& choice, std::string_view engine,
                      std::optional<std::size_t> held_blocks,
                      std::optional<std::size_t> cached_blocks)
{
    load_.finished(now, choice.upstream);
    if (hints_.note_engine(now, choice.upstream, engine))
        load_.forget(choice.upstream);
    if (request.prefix == nullptr)
        return;
    if (cached_blocks)
        calibrate(*request.prefix, choice, *cached_blocks);
    if (!held_blocks)
        return;
    std::span<std::uint64_t const> const digests = request.prefix->digests;
    std::size_t const held = std::min(*held_blocks, digests.size());
    hints_.learn(now, digests.first(held), choice.upstream);
    hints_.forget(digests.subspan(held), choice.upstream);
}

void router::load_reported(base::time_point now, upstream_id upstream, std::string_view engine,
                           load_report const& load)
{
    if (hints_.note_engine(now, upstream, engine))
        load_.forget(upstream);
    load_.report(now, upstream, load);
}

void router::forget(base::time_point now, upstream_id upstream)
{
    hints_.forget_upstream(now, upstream);
    load_.forget(upstream);
    shares_.forget(upstream);
}

std::size_t router::memory_bytes() const
{
    return hints_.memory_bytes() + load_.memory_bytes() + work_.memory_bytes() +
           shares_.memory_bytes();
}

} // namespace savorymount::routing
