#include <savorymount/gateway/placement.hpp>
#include <savorymount/gateway/request_admission.hpp>
#include <savorymount/runtime/callback_guard.hpp>
#include <savorymount/runtime/log_events.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;
namespace events = runtime::log_events;

/// Reports of other instances and of engines change the room without a call of a request.
constexpr base::duration update_interval = 10ms;
/// An older report does not show whether requests still wait at the engine.
constexpr base::duration max_load_report_age = 400ms;

refusal no_room_refusal(std::optional<base::duration> retry_after)
{
    refusal out;
    out.reason = {base::error_kind::overloaded, "no engine can begin the request in time"};
    out.retry_after = retry_after;
    return out;
}

/// The most and the least urgent priority of a service's requests.
struct priority_range
{
    std::int32_t first = max_priority;
    std::int32_t last = 0;

    void include(std::int32_t priority)
    {
        first = std::min(first, priority);
        last = std::max(last, priority);
    }
};

priority_range priorities_of(configuration::deployment const& deployment,
                             std::string const& service)
{
    priority_range out;
    for (auto const& route : deployment.routes)
    {
        bool const serves = std::any_of(route.shares.begin(), route.shares.end(),
                                        [&](auto const& it) { return it.service == service; });
        if (serves)
            out.include(std::clamp(route.priority, 0, max_priority));
    }
    for (auto const& it : deployment.workspaces)
    {
        if (it.priority)
            out.include(std::clamp(*it.priority, 0, max_priority));
    }
    return out;
}

queueing::engine_places places_at(base::time_point now, routing::upstream_state const& state)
{
    queueing::engine_places out;
    out.slots = state.record.slots;
    out.requests = state.active_requests(now);
    out.own_requests = state.local_use.requests;
    bool const fresh = now - state.load_reported_at <= max_load_report_age;
    out.requests_wait = fresh && state.load.waiting > 0;
    out.closed = state.record.draining || now < state.limited_until ||
                 now < state.unavailable_until || now < state.backoff_until ||
                 now < state.loading_until || now < state.draining_until ||
                 routing::is_stalled(now, state);
    return out;
}

} // namespace

request_admission::request_admission(runtime::timer_service& timers, cluster_state& cluster,
                                     base::random_source& random)
    : timers_(timers), cluster_(cluster), random_(random)
{
}

void request_admission::ask(admitted_request const& admitted, caller_request const& request,
                            std::string const& service, base::duration time_left,
                            std::uint64_t& ticket, decided_callback decided)
{
    if (!in_force(admitted, service))
    {
        decided(std::nullopt);
        return;
    }
    auto const now = timers_.now();
    ticket = ++last_ticket_;
    queueing::room_request asked;
    asked.id = ticket;
    asked.urgency = priority_of(admitted);
    asked.most_urgent = asked.urgency == priorities_of(admitted.deployment->data(), service).first;
    asked.time_left = time_left;
    asked.target_latency = admitted.route->target_latency;
    if (request.prompt)
        asked.tokens = request.prompt->charged_tokens();
    if (admitted.workspace != nullptr)
    {
        asked.workspace = admitted.workspace->name;
        asked.weight = std::max(1.0, static_cast<double>(admitted.workspace->rate));
    }
    auto& admission = admission_of(service);
    auto const decision = admission.ask(now, asked);
    tickets_[ticket] = {service, nullptr};
    auto& period = periods_[service];
    if (decision.verdict == queueing::room_verdict::wait)
    {
        tickets_[ticket].decided = std::move(decided);
        if (period.waited++ == 0)
        {
            period.since = now;
            runtime::log(events::requests_wait, {{"service", service}});
        }
        if (!std::exchange(timer_runs_, true))
            update_timer_ = timers_.every(update_interval, [this] { update(); });
        return;
    }
    if (decision.verdict == queueing::room_verdict::refuse)
    {
        period.refused += period.waited > 0 ? 1 : 0;
        decided(no_room_refusal(decision.retry_after));
    }
    else
        decided(std::nullopt);
}

bool request_admission::in_force(admitted_request const& admitted, std::string const& service) const
{
    if (!cluster_.settings().order_by_urgency)
        return false;
    auto const priorities = priorities_of(admitted.deployment->data(), service);
    if (priorities.first >= priorities.last)
        return false;
    auto const& upstreams = cluster_.upstreams().all();
    return std::any_of(upstreams.begin(), upstreams.end(),
                       [&](auto const& it)
                       { return it.second.record.service == service && it.second.load.slots > 0; });
}

queueing::service_admission& request_admission::admission_of(std::string const& service)
{
    auto const it = services_.find(service);
    if (it != services_.end())
        return it->second;
    return services_
        .try_emplace(
            service, [this, service] { return room_of(service); }, random_)
        .first->second;
}

std::optional<queueing::service_room> request_admission::room_of(std::string const& service) const
{
    auto const now = timers_.now();
    std::vector<queueing::engine_places> places;
    bool open = false;
    for (auto const& [id, state] : cluster_.upstreams().all())
    {
        if (state.record.service != service)
            continue;
        places.push_back(places_at(now, state));
        open = open || !places.back().closed;
    }
    // Trying an upstream in backoff is better than refusing, as placement does.
    if (!open)
        return std::nullopt;
    return queueing::estimate_room(places, cluster_.peer_table().instance_count());
}

void request_admission::update()
{
    if (std::exchange(updating_, true))
        return;
    for (auto& [service, admission] : services_)
        update_service(service, admission);
    updating_ = false;
    // A decision for one service may have let a request of another one wait.
    bool const waits = std::any_of(services_.begin(), services_.end(),
                                   [](auto const& it) { return it.second.waiting() > 0; });
    if (waits)
        return;
    update_timer_ = {};
    timer_runs_ = false;
}

void request_admission::update_service(std::string const& service,
                                       queueing::service_admission& admission)
{
    for (auto const& it : admission.update(timers_.now()))
    {
        // A callback may end other requests.
        auto const found = tickets_.find(it.id);
        if (found == tickets_.end())
            continue;
        auto const decided = std::exchange(found->second.decided, nullptr);
        bool const refused = it.verdict == queueing::room_verdict::refuse;
        periods_[service].refused += refused ? 1 : 0;
        // One request that fails must not keep the others waiting.
        runtime::run_guarded(
            "admission decision", [&]
            { decided(refused ? std::optional(no_room_refusal(it.retry_after)) : std::nullopt); });
    }
    if (admission.waiting() == 0 && periods_[service].waited > 0)
        log_period(service, admission);
}

void request_admission::log_period(std::string const& service,
                                   queueing::service_admission const& admission)
{
    auto const now = timers_.now();
    auto const period = std::exchange(periods_[service], {});
    runtime::log(events::requests_waited,
                 {{"service", service},
                  {"waited", static_cast<std::int64_t>(period.waited)},
                  {"refused", static_cast<std::int64_t>(period.refused)},
                  {"running", static_cast<std::int64_t>(admission.running())},
                  {"limited", admission.limited(now) ? 1 : 0},
                  {"time_ms", base::to_milliseconds(now - period.since)}});
}

void request_admission::response_started(std::uint64_t ticket)
{
    auto const it = tickets_.find(ticket);
    if (it != tickets_.end())
        admission_of(it->second.service).response_started(timers_.now(), ticket);
}

void request_admission::leave(std::uint64_t ticket)
{
    auto const it = tickets_.find(ticket);
    if (it == tickets_.end())
        return;
    auto const service = std::move(it->second.service);
    tickets_.erase(it);
    admission_of(service).leave(timers_.now(), ticket);
}

std::optional<base::duration> request_admission::retry_after(std::uint64_t ticket,
                                                             base::duration time_left)
{
    auto const it = tickets_.find(ticket);
    if (it == tickets_.end())
        return std::nullopt;
    return admission_of(it->second.service).retry_after(timers_.now(), ticket, time_left);
}

} // namespace savorymount::gateway
