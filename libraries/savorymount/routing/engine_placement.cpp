#include <savorymount/base/digest.hpp>
#include <savorymount/routing/engine_placement.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::routing
{
namespace
{

using namespace std::chrono_literals;

// All costs are milliseconds of expected wait, or worth as much.
constexpr double prefill_tokens_per_ms = 30;
constexpr double fetch_ms = 3;
constexpr double fetch_ms_per_token = 0.006;
// A batch grows by this for each request in it.
constexpr double batch_ms_per_request = 1.0;
constexpr double queued_request_ms = 15;
// Bytes between data centres are dear, and answers travel longer.
constexpr double other_data_centre_ms = 8;
// A shared part that is read once more takes an engine's time from other requests.
constexpr double read_again_ms_per_token = 0.1;
// A copy of a shared part on one more engine takes the place of other parts there.
constexpr double copy_ms_per_token = 0.015;
constexpr double full_memory_ms = 400;
constexpr double usable_memory = 0.85;
// A request that begins on older weights is worth less once they have been older for this long.
constexpr base::duration old_weights_tolerated = 900ms;
constexpr double old_weights_ms = 500;
// An engine that is being emptied takes requests only when the others are overloaded.
constexpr double emptying_ms = 600;
// An engine under load drops what was not used for longer; the store keeps it.
constexpr base::duration engine_keeps_for = 2s;
// Covers the time in which the version was named but not heard of here.
constexpr base::duration version_margin = 1500ms;

base::duration from_ms(double ms)
{
    return base::duration(static_cast<std::int64_t>(ms * 1000));
}

/// How a prompt splits at one engine.
struct prompt_split
{
    /// Tokens fetched from the store or another engine.
    double fetched = 0;
    /// Tokens that the engine has to read.
    double read = 0;
    /// Tokens of shared parts among them that are nowhere yet.
    double unread_shared = 0;
    std::string source_address;
};

struct placement_input
{
    base::time_point now;
    engine_pool const& pool;
    engine_request const& request;
    upstream_table const& table;
    part_locations const& locations;
};

/// Number of leading parts that the cache store keeps.
std::size_t stored_prefix(placement_input const& in, std::string const& salt)
{
    auto const& parts = in.request.prompt.parts;
    std::size_t n = 0;
    while (n < parts.size() && in.locations.in_store(salt, parts[n].id))
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

prompt_split split_prompt(placement_input const& in, engine_choice const& choice)
{
    auto const& parts = in.request.prompt.parts;
    prompt_split out;
    auto const held = in.locations.held_by(in.now, choice.digests, choice.upstream);
    auto const stored =
        in.pool.store_address.empty() ? std::size_t{0} : stored_prefix(in, choice.salt);
    auto const holder = in.locations.longest_holder(in.now, choice.digests, choice.upstream);
    auto const* const engine = holder ? in.table.find(holder->engine) : nullptr;
    bool const engine_answers = engine != nullptr && in.now >= engine->avoid_until;
    auto const elsewhere = engine_answers ? holder->parts : std::size_t{0};
    auto const known = std::max({held, stored, elsewhere});
    // An engine's link is faster than the store's, which all engines share. The engine fetches
    // only what it lacks: naming a source also covers parts that it dropped unnoticed.
    bool const probably_dropped = holder && holder->unused_for > engine_keeps_for;
    bool const store_first = stored > 0 && stored >= elsewhere && probably_dropped;
    if (elsewhere > 0 && elsewhere >= stored && !store_first)
        out.source_address = engine->record.address;
    else if (stored > 0)
        out.source_address = in.pool.store_address;
    out.fetched = tokens_between(parts, held, known);
    out.read = tokens_between(parts, known, parts.size());
    if (!parts.empty())
        out.unread_shared =
            tokens_between(parts, std::min(known, parts.size() - 1), parts.size() - 1);
    return out;
}

/// The engine where unread shared parts should be read first, the same one for all instances. An
/// engine that is being emptied is none. During a rollout the home may still have the older
/// version: long prompts follow their home, so that the first new engines are not flooded.
std::string home_of(base::time_point now, std::vector<upstream_state*> const& engines,
                    engine_request const& request)
{
    auto const& parts = request.prompt.parts;
    auto const last_shared = parts.size() > 1 ? parts.size() - 2 : 0;
    auto const name =
        base::chain_digest(base::chain_digest(0, request.wall), parts[last_shared].id);
    std::string best;
    std::uint64_t best_score = 0;
    for (auto const* it : engines)
    {
        auto const score = base::chain_digest(name, it->record.id);
        if (now < it->emptying_until || (!best.empty() && score <= best_score))
            continue;
        best = it->record.id;
        best_score = score;
    }
    return best;
}

double load_cost(placement_input const& in, upstream_state const& engine, double needed_tokens)
{
    auto const running = engine.running(in.now);
    auto const slots = static_cast<double>(engine.record.slots);
    double cost = running * batch_ms_per_request;
    cost += std::max(0.0, running - slots) * queued_request_ms;
    cost += engine.own_prefill_tokens / prefill_tokens_per_ms;
    if (in.pool.cache_tokens > 0)
    {
        auto const usable = in.pool.cache_tokens * usable_memory;
        auto const over = engine.tokens_in_use() + needed_tokens - usable;
        cost += over > 0 ? full_memory_ms * (1 + over / usable) : 0;
    }
    return cost;
}

} // namespace

std::string cache_salt(std::string const& model, std::uint64_t version, std::string const& wall)
{
    return model + "." + std::to_string(version) + (wall.empty() ? "" : "." + wall);
}

std::optional<engine_choice> choose_engine(base::time_point now, engine_pool const& pool,
                                           engine_request const& request, upstream_table& table,
                                           part_locations const& locations,
                                           orders::desired_weights const& wanted)
{
    placement_input const in{now, pool, request, table, locations};
    auto const& prompt = request.prompt;
    auto const outdated_for = [&](std::uint64_t version)
    {
        auto const since = wanted.superseded_since(prompt.model, version);
        return since ? now - *since : base::duration::zero();
    };
    auto engines = table.candidates(now, pool.service);
    std::erase_if(engines,
                  [&](upstream_state const* it)
                  {
                      auto const version = it->version_of(prompt.model);
                      bool const too_old =
                          outdated_for(version) > pool.version_bound - version_margin;
                      return version == 0 || too_old || now < it->loading_until ||
                             request.tried.contains(it->record.id);
                  });
    if (engines.empty() || prompt.parts.empty())
        return std::nullopt;
    auto const home = home_of(now, engines, request);
    std::optional<engine_choice> best;
    double best_cost = 0;
    for (auto const* engine : engines)
    {
        engine_choice choice;
        choice.upstream = engine->record.id;
        choice.version = engine->version_of(prompt.model);
        choice.salt = cache_salt(prompt.model, choice.version, request.wall);
        choice.digests = part_digests(choice.salt, prompt.parts);
        auto const split = split_prompt(in, choice);
        choice.source_address = split.source_address;
        choice.keep_in_store = !pool.store_address.empty() && split.unread_shared > 0;
        choice.size = {split.read, prompt.charged_tokens()};
        auto const wait = load_cost(in, *engine, prompt.charged_tokens()) +
                          split.read / prefill_tokens_per_ms +
                          (split.fetched > 0 ? fetch_ms + split.fetched * fetch_ms_per_token : 0);
        choice.expected_wait = from_ms(wait);
        double cost = wait;
        if (engine->record.id != home)
            cost +=
                split.unread_shared * read_again_ms_per_token + split.fetched * copy_ms_per_token;
        if (engine->record.data_centre != pool.own_data_centre)
            cost += other_data_centre_ms;
        if (outdated_for(choice.version) > old_weights_tolerated)
            cost += old_weights_ms;
        if (now < engine->emptying_until)
            cost += emptying_ms;
        if (!best || cost < best_cost)
        {
            best = std::move(choice);
            best_cost = cost;
        }
    }
    return best;
}

} // namespace savorymount::routing
