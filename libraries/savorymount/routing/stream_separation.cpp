#include <savorymount/base/digest.hpp>
#include <savorymount/routing/stream_separation.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace savorymount::routing
{
namespace
{

constexpr double slow_threshold = 1.3;
constexpr double min_slowness = 0.5;
constexpr double max_slowness = 4;
// Tokens that an engine surely reads in a millisecond.
constexpr double min_prefill_tokens_per_ms = 30;
constexpr double short_prompt_gap_fraction = 0.5;
// The engines kept for short prompts leave room for bursts.
constexpr double target_slot_use = 0.5;
// At least this share of the engines is left for long prompts.
constexpr double max_engine_share = 0.5;
// Delay by a pause, relative to the target gap, for the stream that is sent and for those that it
// would delay.
constexpr double short_prompt_cost = 0.5;
constexpr double long_prompt_cost = 1.0;
constexpr std::uint64_t order_seed = 0x5e9a;

double milliseconds(base::duration it)
{
    return static_cast<double>(it.count()) / 1000;
}

std::map<std::string, double> relative_gaps(std::vector<upstream_state*> const& engines)
{
    std::vector<std::pair<std::string, double>> known;
    for (auto const* it : engines)
    {
        if (auto const gap = it->estimate.usual_event_gap())
            known.emplace_back(it->record.id, milliseconds(*gap));
    }
    std::map<std::string, double> out;
    if (known.empty())
        return out;
    // The lower quartile: engines count as slow beside the faster ones also if most are slow.
    auto const reference = known.begin() + static_cast<std::ptrdiff_t>((known.size() - 1) / 4);
    std::nth_element(known.begin(), reference, known.end(),
                     [](auto const& a, auto const& b) { return a.second < b.second; });
    auto const reference_gap = reference->second;
    for (auto const& [id, gap] : known)
        out[id] = std::clamp(gap / reference_gap, min_slowness, max_slowness);
    return out;
}

} // namespace

stream_separation::stream_separation(base::time_point now,
                                     std::vector<upstream_state*> const& engines,
                                     double short_request_share, base::duration target_event_gap)
    : target_gap_ms_(milliseconds(target_event_gap))
{
    bool const tells_pace = std::any_of(engines.begin(), engines.end(),
                                        [](auto const* it) { return it->estimate.tells_pace(); });
    in_force_ = tells_pace && target_event_gap > base::duration::zero();
    if (!in_force_)
        return;
    slowness_ = relative_gaps(engines);
    double requests = 0;
    double slots = 0;
    std::vector<std::tuple<bool, std::uint64_t, std::string>> order;
    for (auto const* it : engines)
    {
        auto const& id = it->record.id;
        requests += it->active_requests(now);
        slots += it->record.slots;
        order.emplace_back(is_slow(slowness(id)), base::chain_digest(order_seed, id), id);
    }
    if (slots <= 0)
        return;
    std::sort(order.begin(), order.end());
    auto const n = static_cast<double>(engines.size());
    auto const wanted = requests * short_request_share * n / (slots * target_slot_use);
    auto const kept = static_cast<std::size_t>(std::min(std::ceil(wanted), n * max_engine_share));
    for (std::size_t i = 0; i < kept; ++i)
        short_prompt_engines_.insert(std::get<2>(order[i]));
}

double stream_separation::slowness(std::string const& engine) const
{
    auto const it = slowness_.find(engine);
    return it == slowness_.end() ? 1 : it->second;
}

bool stream_separation::suits(std::string const& engine, bool short_prompt) const
{
    return !in_force_ || short_prompt_engines_.empty() ||
           short_prompt_engines_.contains(engine) == short_prompt;
}

double stream_separation::cost_ms(std::string const& engine, bool short_prompt) const
{
    if (suits(engine, short_prompt))
        return 0;
    return target_gap_ms_ * (short_prompt ? short_prompt_cost : long_prompt_cost);
}

bool is_short_prompt(double tokens, base::duration target_event_gap)
{
    return tokens / min_prefill_tokens_per_ms <
           milliseconds(target_event_gap) * short_prompt_gap_fraction;
}

bool is_slow(double slowness)
{
    return slowness >= slow_threshold;
}

} // namespace savorymount::routing
