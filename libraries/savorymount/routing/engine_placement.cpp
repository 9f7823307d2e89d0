#include <savorymount/base/digest.hpp>
#include <savorymount/routing/engine_placement.hpp>
#include <savorymount/routing/stream_separation.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::routing
{
namespace
{

using namespace std::chrono_literals;

// All costs are in milliseconds: expected wait or an equivalent penalty.
constexpr double prefill_tokens_per_ms = 30;
constexpr double fetch_base_ms = 3;
constexpr double fetch_ms_per_token = 0.006;
// Time that each running request adds to a batch step.
constexpr double batch_ms_per_request = 1.0;
constexpr double queue_ms_per_request = 15;
// Traffic between data centres is expensive and adds latency.
constexpr double cross_data_centre_ms = 8;
// Prefilling a shared part on a second engine delays other requests there.
constexpr double duplicate_prefill_ms_per_token = 0.1;
// A copy of a shared part on a second engine evicts other parts there.
constexpr double duplicate_copy_ms_per_token = 0.015;
constexpr double cache_overflow_ms = 400;
constexpr double usable_cache_fraction = 0.85;
// Weights that were superseded longer ago than this incur a penalty.
constexpr base::duration stale_weights_grace = 900ms;
constexpr double stale_weights_ms = 500;
// A draining engine gets requests only when the others are overloaded.
constexpr double draining_ms = 600;
// An engine under load evicts parts that were not used for this long; the store still has them.
constexpr base::duration unused_part_retention = 2s;
// Covers the time from the choice of an engine until it begins the request.
constexpr base::duration start_delay_margin = 1500ms;

base::duration duration_from_ms(double ms)
{
    return base::duration(static_cast<std::int64_t>(ms * 1000));
}

/// Which tokens of a prompt one engine fetches and which it prefills.
struct prefill_plan
{
    /// Tokens fetched from the cache store or another engine.
    double fetched_tokens = 0;
    /// Tokens that the engine has to prefill.
    double prefill_tokens = 0;
    /// The part of `prefill_tokens` that belongs to shared parts. No engine or store has them
    /// cached.
    double uncached_shared_tokens = 0;
    std::string source_address;
    /// The engine at that address; empty for the cache store.
    std::string source_engine;
};

/// What is known of the prompt's parts under one weight version; the same for all its engines.
struct version_prefix
{
    std::uint64_t version = 0;
    std::string salt;
    std::vector<std::uint64_t> digests;
    prefix_holders holders;
    /// The holders from which parts can be fetched.
    prefix_holders sources;
    bool is_superseded = false;
    /// Number of leading parts that can be fetched from the cache store.
    std::size_t stored_parts = 0;
};

struct placement_input
{
    base::time_point now;
    engine_pool_config const& pool;
    engine_request const& request;
    upstream_table const& table;
    part_locations const& locations;
    orders::desired_weights const& desired;
};

/// Number of leading parts that are in the cache store.
std::size_t stored_prefix_length(placement_input const& in, std::string const& salt)
{
    auto const& parts = in.request.prompt.parts;
    std::size_t n = 0;
    while (n < parts.size() && in.locations.is_stored(salt, parts[n].id))
        ++n;
    return n;
}

double tokens_between(std::vector<prompt_part> const& parts, std::size_t first, std::size_t last)
{
    double out = 0;
    for (std::size_t i = first; i < last; ++i)
        out += parts[i].tokens;
    return out;
}

bool is_source(placement_input const& in, std::uint64_t version, std::string const& engine)
{
    // An engine drops its parts when it loads weights, and a request that it runs on may make them
    // anew with the loaded ones, under the same salt.
    auto const* const state = in.table.find(engine);
    return state != nullptr && in.now >= state->backoff_until &&
           state->keeps_weights(in.now, in.request.prompt.model, version);
}

version_prefix find_version_prefix(placement_input const& in, std::uint64_t version)
{
    version_prefix out;
    out.version = version;
    out.salt = cache_salt(in.request.prompt.model, version, in.request.cache_scope);
    out.digests = part_digests(out.salt, in.request.prompt.parts);
    out.holders = in.locations.find_prefix_holders(in.now, out.digests);
    out.is_superseded = in.desired.superseded_since(in.request.prompt.model, version).has_value();
    auto const& oldest_shared = in.pool.oldest_shared_version;
    if (!oldest_shared || version < *oldest_shared)
        return out;
    out.sources = out.holders.matching([&](std::string const& engine)
                                       { return is_source(in, version, engine); });
    // The store may have a superseded part from a request that continued on newer weights.
    if (!out.is_superseded && !in.pool.store_address.empty())
        out.stored_parts = stored_prefix_length(in, out.salt);
    return out;
}

/// The entry of a version, which is added if it is missing. There are few versions at a time.
version_prefix const& prefix_of(placement_input const& in, std::vector<version_prefix>& known,
                                std::uint64_t version)
{
    auto const it =
        std::find_if(known.begin(), known.end(),
                     [version](auto const& candidate) { return candidate.version == version; });
    return it == known.end() ? known.emplace_back(find_version_prefix(in, version)) : *it;
}

prefill_plan plan_prefill(placement_input const& in, version_prefix const& prefix,
                          std::string const& upstream)
{
    auto const& parts = in.request.prompt.parts;
    prefill_plan out;
    auto const engine_parts = prefix.holders.cached_parts(upstream);
    auto const stored_parts = prefix.stored_parts;
    auto const* const peer = prefix.sources.longest(upstream);
    auto const* const source = peer != nullptr ? in.table.find(peer->engine) : nullptr;
    auto const peer_parts = peer != nullptr ? peer->cached_parts : std::size_t{0};
    auto const available_parts = std::max({engine_parts, stored_parts, peer_parts});
    // Another engine is preferred as source: its link is faster than that of the store, which all
    // engines share. The engine fetches only parts that it has not cached, so a source also helps
    // with parts that were evicted without this instance knowing.
    bool const probably_evicted = peer != nullptr && peer->unused_for > unused_part_retention;
    bool const prefer_store = stored_parts > 0 && stored_parts >= peer_parts && probably_evicted;
    if (peer_parts > 0 && peer_parts >= stored_parts && !prefer_store)
    {
        out.source_address = source->record.address;
        out.source_engine = source->record.id;
    }
    else if (stored_parts > 0)
        out.source_address = in.pool.store_address;
    out.fetched_tokens = tokens_between(parts, engine_parts, available_parts);
    out.prefill_tokens = tokens_between(parts, available_parts, parts.size());
    if (!parts.empty())
        out.uncached_shared_tokens =
            tokens_between(parts, std::min(available_parts, parts.size() - 1), parts.size() - 1);
    return out;
}

/// The engine that should prefill uncached shared parts first; all instances choose the same one by
/// rendezvous hashing. Draining engines are excluded. During a rollout the preferred engine may
/// still have the older version: keeping long prompts there avoids overloading the first engines
/// with the new version.
std::string preferred_engine_of(base::time_point now, std::vector<upstream_state*> const& engines,
                                engine_request const& request, stream_separation const& separation,
                                bool short_prompt)
{
    auto const& parts = request.prompt.parts;
    auto const last_shared = parts.size() > 1 ? parts.size() - 2 : 0;
    auto const placement_digest =
        base::chain_digest(base::chain_digest(0, request.cache_scope), parts[last_shared].id);
    std::string best;
    std::uint64_t best_score = 0;
    for (auto const* it : engines)
    {
        auto score = base::chain_digest(placement_digest, it->record.id);
        if (is_slow(separation.slowness(it->record.id)))
            score /= 2;
        if (!separation.suits(it->record.id, short_prompt))
            score = 0;
        if (now < it->draining_until || (!best.empty() && score <= best_score))
            continue;
        best = it->record.id;
        best_score = score;
    }
    return best;
}

double load_cost(placement_input const& in, upstream_state const& engine, double request_tokens)
{
    auto const running = engine.active_requests(in.now);
    auto const slots = static_cast<double>(engine.record.slots);
    double cost = running * batch_ms_per_request;
    cost += std::max(0.0, running - slots) * queue_ms_per_request;
    cost += engine.local_prefill_tokens / prefill_tokens_per_ms;
    if (in.pool.engine_cache_tokens > 0)
    {
        auto const usable_tokens = in.pool.engine_cache_tokens * usable_cache_fraction;
        auto const overflow_tokens = engine.tokens_in_use() + request_tokens - usable_tokens;
        cost += overflow_tokens > 0 ? cache_overflow_ms * (1 + overflow_tokens / usable_tokens) : 0;
    }
    return cost;
}

} // namespace

std::string cache_salt(std::string const& model, std::uint64_t version, std::string const& scope)
{
    return model + "." + std::to_string(version) + scope;
}

std::optional<engine_choice> choose_engine(base::time_point now, engine_pool_config const& pool,
                                           engine_request const& request, upstream_table& table,
                                           part_locations const& locations,
                                           orders::desired_weights const& desired)
{
    placement_input const in{now, pool, request, table, locations, desired};
    auto const& prompt = request.prompt;
    auto const version_staleness = [&](std::uint64_t version)
    {
        auto const since = desired.superseded_since(prompt.model, version);
        return since ? now - *since : base::duration::zero();
    };
    auto engines = table.candidates(now, pool.service);
    std::erase_if(engines,
                  [&](upstream_state const* it)
                  {
                      auto const version = it->weight_version(prompt.model);
                      bool const too_old = version_staleness(version) >
                                           pool.max_version_staleness - start_delay_margin;
                      return version == 0 || too_old || now < it->loading_until ||
                             request.tried.contains(it->record.id) ||
                             !membership::has_version(it->record, request.software_version);
                  });
    if (engines.empty() || prompt.parts.empty())
        return std::nullopt;
    stream_separation const separation(now, engines, table.short_request_share(),
                                       request.target_event_gap);
    bool const short_prompt = is_short_prompt(prompt.prompt_tokens, request.target_event_gap);
    auto const preferred_engine =
        preferred_engine_of(now, engines, request, separation, short_prompt);
    std::vector<version_prefix> prefixes;
    std::optional<engine_choice> best;
    double best_cost = 0;
    for (auto const* engine : engines)
    {
        engine_choice choice;
        choice.upstream = engine->record.id;
        choice.version = engine->weight_version(prompt.model);
        auto const& prefix = prefix_of(in, prefixes, choice.version);
        auto const plan = plan_prefill(in, prefix, choice.upstream);
        choice.source_address = plan.source_address;
        choice.source_engine = plan.source_engine;
        choice.write_to_store =
            !prefix.is_superseded && !pool.store_address.empty() && plan.uncached_shared_tokens > 0;
        choice.size = {plan.prefill_tokens, prompt.charged_tokens(), short_prompt};
        auto const slowness = separation.slowness(choice.upstream);
        auto const wait =
            load_cost(in, *engine, prompt.charged_tokens()) * slowness +
            plan.prefill_tokens / prefill_tokens_per_ms * slowness +
            (plan.fetched_tokens > 0 ? fetch_base_ms + plan.fetched_tokens * fetch_ms_per_token
                                     : 0);
        choice.expected_wait = duration_from_ms(wait);
        auto const staleness = version_staleness(choice.version);
        bool const begins_too_late = staleness > base::duration::zero() &&
                                     staleness + choice.expected_wait > pool.max_version_staleness;
        if (begins_too_late)
            continue;
        double cost = wait + separation.cost_ms(choice.upstream, short_prompt);
        if (engine->record.id != preferred_engine)
            cost += plan.uncached_shared_tokens * duplicate_prefill_ms_per_token +
                    plan.fetched_tokens * duplicate_copy_ms_per_token;
        if (engine->record.data_centre != pool.local_data_centre)
            cost += cross_data_centre_ms;
        if (staleness > stale_weights_grace)
            cost += stale_weights_ms;
        if (now < engine->draining_until)
            cost += draining_ms;
        if (!best || cost < best_cost)
        {
            best = std::move(choice);
            best_cost = cost;
        }
    }
    if (!best)
        return std::nullopt;
    auto const& prefix = prefix_of(in, prefixes, best->version);
    best->salt = prefix.salt;
    best->digests = prefix.digests;
    return best;
}

} // namespace savorymount::routing
