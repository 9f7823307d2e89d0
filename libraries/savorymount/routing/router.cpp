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
/// Members of a large pool that are considered for their place in the order of preference. The load
/// of a hot prefix spreads over them.
constexpr std::size_t preferred_members = 8;
/// Members of a large pool that are considered at random, to find an idle one for a large surplus.
constexpr std::size_t random_members = 4;
/// Most blocks whose hints are looked up in one decision, besides the search for the deepest one.
constexpr std::size_t looked_up_blocks = 12;
/// Cost that equals one step in the order of preference, so that equal upstreams are chosen alike
/// by all entries.
constexpr base::duration cost_per_rank = std::chrono::microseconds(50);

} // namespace

router::router(router_options const& options, base::random_source& random)
    : options_(options), random_(random), hints_(options.hints), load_(options.report_lag)
{
}

void router::consider(candidates const& upstreams, route_request const& request,
                      upstream_id upstream, std::size_t rank)
{
    if (std::find(request.tried.begin(), request.tried.end(), upstream) != request.tried.end())
        return;
    if (std::find(rejected_.begin(), rejected_.end(), upstream) != rejected_.end())
        return;
    for (considered const& it : considered_)
    {
        if (it.upstream == upstream)
            return;
    }
    double const share = upstreams.share ? upstreams.share(upstream) : 1.0;
    // A share below one is drawn per request, so that slow start limits the number of requests and
    // not their kind.
    if (share <= 0.0 || (share < 1.0 && random_.unit() >= share))
    {
        rejected_.push_back(upstream);
        return;
    }
    considered_.push_back({upstream, 0.0, 0, rank, {}});
}

void router::collect(base::time_point /*now*/, route_request const& request,
                     candidates const& upstreams)
{
    candidate_pool const& pool = *upstreams.pool;
    bool const whole = pool.size() <= whole_pool;
    bool const placed = request.prefix != nullptr && !request.prefix->digests.empty();
    std::size_t const wanted = whole ? pool.size() : preferred_members + request.tried.size();
    std::uint64_t const digest =
        placed ? request.prefix->digests[placement_blocks(*request.prefix) - 1] : random_.next();
    pool.preferred(digest, wanted, preferred_);
    for (std::size_t i = 0; i < preferred_.size(); ++i)
        consider(upstreams, request, preferred_[i], i);
    if (whole)
        return;
    for (std::size_t i = 0; i < random_members; ++i)
        consider(upstreams, request, pool.at(random_.below(pool.size())), wanted + i);
}

void router::apply_hints(base::time_point now, route_request const& request,
                         candidates const& upstreams, std::size_t block)
{
    for (cache_hint const& hint : hints_.find(now, request.prefix->digests[block]))
    {
        // Hints name upstreams of all pools; digests are seeded with the model, so a hinted
        // upstream held it once, but it may have changed its models since.
        if (!upstreams.pool->contains(hint.upstream))
            continue;
        consider(upstreams, request, hint.upstream, preferred_members);
        double const confidence = std::exp2(-static_cast<double>(hint.age.count()) /
                                            static_cast<double>(options_.hint_half_life.count()));
        for (considered& it : considered_)
        {
            if (it.upstream != hint.upstream || it.cached_bytes >= confidence * ends_[block])
                continue;
            it.cached_bytes = confidence * ends_[block];
            it.blocks = block + 1;
        }
    }
}

void router::apply_placement(prompt_prefix const& prefix)
{
    std::size_t const blocks = placement_blocks(prefix);
    if (blocks == 0)
        return;
    double confidence = options_.preferred_confidence;
    for (considered& it : considered_)
    {
        if (it.rank >= preferred_members)
            continue;
        double const expected =
            std::ldexp(confidence, -static_cast<int>(it.rank)) * ends_[blocks - 1];
        if (it.cached_bytes >= expected)
            continue;
        it.cached_bytes = expected;
        it.blocks = blocks;
    }
}

void router::price(base::time_point now)
{
    double const total = ends_.empty() ? 0.0 : ends_.back();
    double const per_token = static_cast<double>(options_.prefill_per_token.count()) / 1000.0;
    for (considered& it : considered_)
    {
        load_estimate const load = load_.estimate(now, it.upstream);
        double const missed = std::max(0.0, total - it.cached_bytes) / options_.bytes_per_token;
        double const prefill = missed * per_token;
        double const wait = static_cast<double>(load.queued_tokens) * per_token +
                            static_cast<double>(load.requests) *
                                static_cast<double>(options_.delay_per_request.count());
        it.cost = base::duration(static_cast<base::duration::rep>(prefill + wait)) +
                  cost_per_rank * it.rank;
    }
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
    collect(now, request, upstreams);
    if (request.prefix != nullptr && !request.prefix->digests.empty())
    {
        prompt_prefix const& prefix = *request.prefix;
        double end = 0;
        for (std::uint32_t bytes : prefix.block_bytes)
            ends_.push_back(end += bytes);
        // Whoever holds a block holds those before it, so the deepest hinted block is found by
        // bisection. Misses of that rule cost a worse guess, never a wrong response.
        std::size_t low = 0;
        std::size_t high = prefix.digests.size();
        while (low < high)
        {
            std::size_t const middle = low + (high - low) / 2;
            if (hints_.find(now, prefix.digests[middle]).size > 0)
                low = middle + 1;
            else
                high = middle;
        }
        std::size_t lookups = 0;
        for (std::size_t block = low; block > 0 && lookups < looked_up_blocks; ++lookups)
        {
            apply_hints(now, request, upstreams, block - 1);
            // Long prompts are sampled with growing steps: near the end each block counts.
            block -= std::min(block, low <= looked_up_blocks ? 1 : 1 + (lookups * low) / 64);
        }
        apply_placement(prefix);
    }
    price(now);
    std::size_t const length = std::min(options_.ranked, considered_.size());
    std::partial_sort(considered_.begin(),
                      considered_.begin() + static_cast<std::ptrdiff_t>(length), considered_.end(),
                      [](considered const& left, considered const& right) {
                          return left.cost != right.cost ? left.cost < right.cost
                                                         : left.rank < right.rank;
                      });
    double const total = ends_.empty() ? 0.0 : ends_.back();
    for (std::size_t i = 0; i < length; ++i)
    {
        considered const& it = considered_[i];
        double const missed = std::max(0.0, total - it.cached_bytes) / options_.bytes_per_token;
        out.push_back(
            {it.upstream, it.cost, it.blocks, static_cast<std::uint64_t>(std::llround(missed))});
    }
    return out;
}

void router::sent(base::time_point now, route_request const& request, ranked_upstream const& choice)
{
    load_.sent(now, choice.upstream, choice.expected_tokens);
    // Engines take requests in turn, so later requests will find the blocks that this one computes.
    if (request.prefix != nullptr)
        hints_.learn(now, request.prefix->digests, choice.upstream);
}

void router::started(base::time_point now, ranked_upstream const& choice)
{
    load_.started(now, choice.upstream, choice.expected_tokens);
}

void router::finished(base::time_point now, route_request const& request,
                      ranked_upstream const& choice, std::string_view engine,
                      std::optional<std::size_t> held_blocks)
{
    load_.finished(now, choice.upstream);
    if (hints_.note_engine(now, choice.upstream, engine))
        load_.forget(choice.upstream);
    if (request.prefix == nullptr || !held_blocks)
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
}

std::size_t router::memory_bytes() const
{
    return hints_.memory_bytes() + load_.memory_bytes();
}

} // namespace savorymount::routing
