#include <savorymount/routing/upstream_table.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::routing
{
namespace
{

using namespace std::chrono_literals;

// Responses carry load reports. After this time without one, the request counts of the instances
// are more accurate.
constexpr base::duration load_report_lifetime = 400ms;
constexpr base::duration min_backoff = 300ms;
constexpr base::duration max_backoff = 2400ms;
constexpr base::duration stall_timeout = 700ms;
// Far longer than a process that leaves goes on to run.
constexpr base::duration leaving_notice_lifetime = 10min;

constexpr double request_mix_smoothing = 0.05;

/// Whether the upstream's entry went and was not written again in time.
bool has_lapsed(base::time_point now, upstream_state const& state)
{
    return state.unlisted_until && now >= *state.unlisted_until;
}

} // namespace

double upstream_state::active_requests(base::time_point now) const
{
    double const known_requests = static_cast<double>(local_use.requests) + total_peer_use.requests;
    if (now - load_reported_at > load_report_lifetime)
        return known_requests;
    return std::max(known_requests, static_cast<double>(load.running + load.waiting));
}

double upstream_state::tokens_in_use() const
{
    return local_use.tokens + total_peer_use.tokens;
}

std::uint64_t upstream_state::weight_version(std::string const& model) const
{
    auto const it = record.weights.find(model);
    return it == record.weights.end() ? 0 : it->second;
}

bool upstream_state::keeps_weights(base::time_point now, std::string const& model,
                                   std::uint64_t version) const
{
    auto const ordered = ordered_weights.find(model);
    bool const newer_ordered = ordered != ordered_weights.end() && ordered->second > version;
    return weight_version(model) == version && !newer_ordered && now >= loading_until;
}

bool upstream_table::apply_listing(base::time_point now, membership::upstream_record record)
{
    auto& state = states_[record.id];
    auto const listed_weights = record.weights;
    bool const restarted =
        !state.record.id.empty() && state.record.started_unix_ms != record.started_unix_ms;
    if (state.record.id.empty() || restarted)
    {
        // An order that was sent before a restart may be carried out after it.
        auto ordered_weights = std::move(state.ordered_weights);
        state = {};
        state.ordered_weights = std::move(ordered_weights);
        state.last_progress_at = now;
    }
    else
    {
        // The list lags behind the responses: a version never goes down within one incarnation.
        for (auto const& it : state.record.weights)
        {
            auto& version = record.weights[it.first];
            version = std::max(version, it.second);
        }
        record.draining = record.draining || state.record.draining;
    }
    state.unlisted_until.reset();
    state.record = std::move(record);
    state.listed_weights = listed_weights;
    apply_notice(state);
    return restarted;
}

void upstream_table::remove_listing(base::time_point now, std::string const& id,
                                    std::optional<base::time_point> unreadable_at)
{
    auto* const state = find(id);
    if (state == nullptr)
        return;
    // The time does not count from this record, which may be read long after the end of the outage:
    // an upstream that left after the outage would be used for longer than it runs.
    bool const may_run = unreadable_at && now < *unreadable_at + relisting_time;
    if (may_run && !state->record.draining)
        state->unlisted_until = *unreadable_at + relisting_time;
    else
        states_.erase(id);
}

void upstream_table::expire(base::time_point now)
{
    std::erase_if(notices_, [now](auto const& it) { return now >= it.second.forgotten_at; });
    std::erase_if(states_, [now](auto const& it) { return has_lapsed(now, it.second); });
}

upstream_state* upstream_table::find(std::string const& id)
{
    auto const it = states_.find(id);
    return it == states_.end() ? nullptr : &it->second;
}

upstream_state const* upstream_table::find(std::string const& id) const
{
    auto const it = states_.find(id);
    return it == states_.end() ? nullptr : &it->second;
}

std::vector<upstream_state*> upstream_table::candidates(base::time_point now,
                                                        std::string const& service)
{
    std::vector<upstream_state*> out;
    std::vector<upstream_state*> unhealthy;
    for (auto& [id, state] : states_)
    {
        bool const is_held_back =
            has_lapsed(now, state) || now < state.limited_until || now < state.unavailable_until;
        if (state.record.service != service || state.record.draining || is_held_back)
            continue;
        bool const is_unhealthy = now < state.backoff_until || is_stalled(now, state);
        (is_unhealthy ? unhealthy : out).push_back(&state);
    }
    // If all upstreams are in backoff or stalled, trying one is better than refusing the request.
    return out.empty() ? unhealthy : out;
}

void upstream_table::request_sent(base::time_point now, std::string const& id,
                                  request_size const& size)
{
    auto* const state = find(id);
    if (state == nullptr)
        return;
    ++state->local_use.requests;
    state->local_use.tokens += size.memory_tokens;
    state->local_prefill_tokens += size.prefill_tokens;
    if (size.memory_tokens > 0)
    {
        ++prompts_;
        short_prompts_ += size.short_prompt ? 1 : 0;
        record_request_mix();
    }
    if (state->awaiting_response++ == 0)
        state->awaiting_response_since = now;
}

void upstream_table::response_started(base::time_point now, std::string const& id,
                                      request_size const& size)
{
    auto* const state = find(id);
    if (state == nullptr)
        return;
    state->local_prefill_tokens = std::max(0.0, state->local_prefill_tokens - size.prefill_tokens);
    if (state->awaiting_response > 0)
        --state->awaiting_response;
    state->awaiting_response_since = now;
    state->consecutive_failures = 0;
    state->backoff_until = {};
    response_progressed(now, id);
}

void upstream_table::response_progressed(base::time_point now, std::string const& id)
{
    if (auto* const state = find(id))
        state->last_progress_at = now;
}

void upstream_table::event_gap_observed(base::time_point now, std::string const& id,
                                        base::duration gap)
{
    if (auto* const state = find(id))
        state->estimate.record_event_gap(now, gap);
}

void upstream_table::record_request_mix()
{
    auto const share = static_cast<double>(short_prompts_) / prompts_;
    short_request_share_ += request_mix_smoothing * (share - short_request_share_);
}

void upstream_table::request_finished(std::string const& id, bool had_response,
                                      request_size const& size)
{
    if (size.memory_tokens > 0 && prompts_ > 0)
    {
        --prompts_;
        short_prompts_ -= size.short_prompt && short_prompts_ > 0 ? 1 : 0;
        // A prompt that was sent to an unknown upstream was not counted.
        short_prompts_ = std::min(short_prompts_, prompts_);
    }
    auto* const state = find(id);
    if (state == nullptr)
        return;
    if (state->local_use.requests > 0)
        --state->local_use.requests;
    state->local_use.tokens = std::max(0.0, state->local_use.tokens - size.memory_tokens);
    if (had_response)
        return;
    state->local_prefill_tokens = std::max(0.0, state->local_prefill_tokens - size.prefill_tokens);
    if (state->awaiting_response > 0)
        --state->awaiting_response;
}

void upstream_table::connection_failed(base::time_point now, std::string const& id)
{
    auto* const state = find(id);
    // Connections that break at the same time count as one failure.
    if (state == nullptr || now < state->backoff_until)
        return;
    auto const factor = 1U << std::min<std::uint32_t>(state->consecutive_failures++, 3);
    state->backoff_until = now + std::min(min_backoff * factor, max_backoff);
}

void upstream_table::request_rejected(base::time_point now, std::string const& id,
                                      base::duration retry_after)
{
    if (auto* const state = find(id))
        state->backoff_until = std::max(state->backoff_until, now + retry_after);
}

upstream_table::process_notice& upstream_table::notice_of(upstream_state const& state,
                                                          base::time_point keep_until)
{
    auto& out = notices_[membership::process_name(state.record)];
    out.forgotten_at = std::max(out.forgotten_at, keep_until);
    return out;
}

void upstream_table::apply_notice(upstream_state& state) const
{
    auto const it = notices_.find(membership::process_name(state.record));
    if (it == notices_.end())
        return;
    state.record.draining = state.record.draining || it->second.leaving;
    state.unavailable_until = std::max(state.unavailable_until, it->second.unavailable_until);
}

void upstream_table::set_leaving(base::time_point now, std::string const& id)
{
    auto* const state = find(id);
    if (state == nullptr)
        return;
    notice_of(*state, now + leaving_notice_lifetime).leaving = true;
    state->record.draining = true;
}

void upstream_table::set_unavailable(std::string const& id, base::time_point until)
{
    auto* const state = find(id);
    if (state == nullptr || until <= state->unavailable_until)
        return;
    notice_of(*state, until).unavailable_until = until;
    state->unavailable_until = until;
}

bool upstream_table::accepts_requests(base::time_point now, std::string const& id) const
{
    auto const* const state = find(id);
    return state != nullptr && !state->record.draining && now >= state->unavailable_until &&
           !has_lapsed(now, *state);
}

void upstream_table::load_reported(base::time_point now, std::string const& id,
                                   server_load const& load)
{
    auto* const state = find(id);
    if (state == nullptr)
        return;
    state->load = load;
    state->load_reported_at = now;
    if (load.pace_percent)
        state->estimate.record_pace(now, *load.pace_percent);
}

void upstream_table::weights_observed(std::string const& id, std::string const& model,
                                      std::uint64_t version)
{
    auto* const state = find(id);
    if (state == nullptr)
        return;
    auto& known = state->record.weights[model];
    known = std::max(known, version);
}

void upstream_table::load_ordered(std::string const& id, std::string const& model,
                                  std::uint64_t version)
{
    auto* const state = find(id);
    if (state == nullptr)
        return;
    auto& known = state->ordered_weights[model];
    known = std::max(known, version);
}

std::vector<open_order> upstream_table::open_orders() const
{
    std::vector<open_order> out;
    for (auto const& [id, state] : states_)
    {
        for (auto const& [model, version] : state.ordered_weights)
        {
            if (version > state.weight_version(model))
                out.push_back({id, model, version});
        }
    }
    return out;
}

void upstream_table::weights_rejected(std::string const& id, std::string const& model,
                                      std::uint64_t version)
{
    auto* const state = find(id);
    if (state == nullptr || state->weight_version(model) != version)
        return;
    auto const listed = state->listed_weights.find(model);
    bool const listed_differs = listed != state->listed_weights.end() && listed->second != version;
    state->record.weights[model] = listed_differs ? listed->second : 0;
}

void upstream_table::set_limited(std::string const& id, base::time_point until)
{
    if (auto* const state = find(id))
        state->limited_until = until;
}

std::optional<base::time_point> upstream_table::limited_until(base::time_point now,
                                                              std::string const& service) const
{
    std::optional<base::time_point> out;
    for (auto const& [id, state] : states_)
    {
        auto const until = std::max(state.limited_until, state.unavailable_until);
        bool const is_limited = !state.record.draining && now < until;
        if (state.record.service == service && is_limited)
            out = std::min(out.value_or(until), until);
    }
    return out;
}

bool upstream_table::serves_version(std::string const& service,
                                    std::string const& software_version) const
{
    return std::any_of(states_.begin(), states_.end(),
                       [&](auto const& it)
                       {
                           auto const& record = it.second.record;
                           return record.service == service &&
                                  record.software_version == software_version;
                       });
}

void upstream_table::set_loading(std::string const& id, base::time_point until)
{
    if (auto* const state = find(id))
        state->loading_until = until;
}

void upstream_table::set_draining(std::string const& id, base::time_point until)
{
    if (auto* const state = find(id))
        state->draining_until = until;
}

void upstream_table::set_peer_use(std::string const& peer,
                                  std::map<std::string, upstream_use> const& use)
{
    auto& used = used_by_peer_[peer];
    for (auto const& id : used)
    {
        if (!use.contains(id))
            change_peer_use(id, peer, {});
    }
    used.clear();
    for (auto const& [id, it] : use)
    {
        change_peer_use(id, peer, it);
        used.push_back(id);
    }
    if (used.empty())
        used_by_peer_.erase(peer);
}

void upstream_table::change_peer_use(std::string const& id, std::string const& peer,
                                     upstream_use const& use)
{
    auto* const state = find(id);
    if (state == nullptr)
        return;
    auto& known = state->peer_use[peer];
    state->total_peer_use.requests += use.requests - known.requests;
    state->total_peer_use.tokens += use.tokens - known.tokens;
    known = use;
    if (use == upstream_use{})
        state->peer_use.erase(peer);
}

std::map<std::string, upstream_use> upstream_table::local_use() const
{
    std::map<std::string, upstream_use> out;
    for (auto const& [id, state] : states_)
    {
        if (state.local_use.requests > 0)
            out[id] = state.local_use;
    }
    return out;
}

bool is_stalled(base::time_point now, upstream_state const& state)
{
    return state.awaiting_response > 0 && now - state.awaiting_response_since > stall_timeout &&
           now - state.last_progress_at > stall_timeout;
}

} // namespace savorymount::routing
