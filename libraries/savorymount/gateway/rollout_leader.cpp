#include <savorymount/gateway/rollout_leader.hpp>
#include <savorymount/runtime/log_events.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;
namespace events = runtime::log_events;

constexpr base::duration membership_read_interval = 1000ms;
constexpr std::uint64_t membership_read_jitter_ms = 200;
// While reports of the leader arrive, the others read the store only to find new instances.
constexpr base::duration max_membership_read_interval = 4s;
// With a relay in the data centre, new instances become known through their reports.
constexpr base::duration membership_read_interval_beside_relay = 20s;
// Lost reports that are tolerated before the leader counts as silent.
constexpr int max_lost_reports = 2;
// How long an engine gets no new requests after the last report that it drains.
constexpr base::duration draining_report_lifetime = 400ms;
constexpr base::duration advance_interval = 50ms;
constexpr base::duration membership_check_interval = 200ms;
// About one in this many engines can load at the same time without slowing the others down.
constexpr std::size_t engines_per_load = 6;

std::string_view to_string(orders::order_outcome outcome)
{
    switch (outcome)
    {
    case orders::order_outcome::accepted:
        return "accepted";
    case orders::order_outcome::already_done:
        return "already_done";
    case orders::order_outcome::conflict:
        return "conflict";
    case orders::order_outcome::fenced:
        return "fenced";
    case orders::order_outcome::impossible:
        return "impossible";
    case orders::order_outcome::invalid_answer:
        return "invalid_answer";
    case orders::order_outcome::unanswered:
        break;
    }
    return "unanswered";
}

void log_invalid_answer(std::string const& upstream, base::error const& reason)
{
    runtime::log(events::engine_answer_invalid,
                 {{"upstream", upstream}, {"reason", reason.message}});
}

} // namespace

rollout_leader::rollout_leader(runtime::timer_service& timers, cluster_state& cluster,
                               platform_adapter& platform, base::random_source& random,
                               rollout_leader_callbacks callbacks)
    : timers_(timers), cluster_(cluster), platform_(platform), random_(random),
      callbacks_(std::move(callbacks)),
      lease_({.instance = cluster.settings().instance,
              .incarnation = cluster.settings().incarnation,
              .lease_duration = cluster.settings().leader_lease,
              .renewal_interval = cluster.settings().leader_lease / 3}),
      rollout_({})
{
    // An engine with a version that no record keeps would be ordered back after a restart of all
    // instances.
    rollout_.set_order_condition([this](std::string const& model, std::uint64_t version)
                                 { return stored_versions_.is_recorded(model, version); });
}

void rollout_leader::start()
{
    read_membership();
    advance_timer_ = timers_.every(advance_interval, [this] { advance(); });
}

bool rollout_leader::leader_reported_recently(base::time_point now) const
{
    auto const interval = cluster_.peer_table().report_delay();
    return leader_reported_at_ && now - *leader_reported_at_ < interval * (max_lost_reports + 1);
}

void rollout_leader::leader_reported(base::time_point now, membership::held_lease const& lease)
{
    leader_reported_at_ = now;
    lease_.on_leader_announced(now, lease.offset, lease.era);
}

std::optional<membership::held_lease> rollout_leader::held_lease(base::time_point now) const
{
    auto const offset = lease_.held_record_offset(now);
    if (!offset)
        return std::nullopt;
    return membership::held_lease{lease_.era(), *offset};
}

void rollout_leader::read_membership_if_due()
{
    auto const now = timers_.now();
    bool const leaves_it_to_relay = !is_leader_ && !callbacks_.reads_store();
    bool const other_instance_leads = !is_leader_ && leader_reported_recently(now);
    auto const pause = leaves_it_to_relay     ? membership_read_interval_beside_relay
                       : other_instance_leads ? max_membership_read_interval
                                              : base::duration::zero();
    if (now - membership_read_at_ < pause)
        membership_timer_ =
            timers_.after(membership_check_interval, [this] { read_membership_if_due(); });
    else
        read_membership();
}

void rollout_leader::read_membership()
{
    membership_read_at_ = timers_.now();
    is_reading_membership_ = true;
    membership_timer_ = {};
    platform_.read_membership(
        [this](std::optional<membership_page> page)
        {
            is_reading_membership_ = false;
            if (page)
                handle_membership(*page);
            auto const jitter =
                std::chrono::milliseconds(random_.uniform_below(membership_read_jitter_ms));
            membership_timer_ = timers_.after(membership_read_interval + jitter,
                                              [this] { read_membership_if_due(); });
        });
}

void rollout_leader::handle_membership(membership_page const& page)
{
    cluster_.stored_versions_read(page.weights);
    stored_versions_.on_read(page.weights);
    callbacks_.members_read(page.members);
    lease_.on_log_read(timers_.now(), page.lease, page.end_offset, page.era);
    if (!update_lease())
        store_versions(page.end_offset);
}

void rollout_leader::store_versions(std::uint64_t log_end)
{
    auto const now = timers_.now();
    auto const record = stored_versions_.next_append(now, cluster_.desired_weights(), is_leader_);
    if (!record || is_storing_version_ || releasing_)
        return;
    is_storing_version_ = true;
    platform_.append_version(
        *record, log_end,
        [this, record = *record, log_end](append_outcome outcome, std::uint64_t end_offset)
        {
            is_storing_version_ = false;
            if (outcome == append_outcome::condition_failed)
                read_membership_now();
            if (outcome != append_outcome::accepted)
                return;
            stored_versions_.on_append_accepted(record);
            lease_.on_other_append_accepted(log_end, end_offset);
            store_versions(end_offset);
            advance();
        });
}

void rollout_leader::read_membership_now()
{
    if (!is_reading_membership_)
        read_membership();
}

bool rollout_leader::update_lease()
{
    auto const now = timers_.now();
    if (releasing_ || (stopping_ && !lease_.fencing_token(now)))
        return false;
    auto const append = lease_.next_append(now);
    if (!append)
        return false;
    platform_.append_lease(*append,
                           [this](append_outcome outcome, std::uint64_t end_offset)
                           {
                               auto const responded_at = timers_.now();
                               if (outcome == append_outcome::accepted)
                                   lease_.on_append_accepted(responded_at, end_offset);
                               else if (outcome == append_outcome::unknown)
                                   lease_.on_append_outcome_unknown();
                               else
                                   lease_.on_append_rejected();
                               update_leadership(responded_at);
                               if (outcome == append_outcome::accepted)
                                   store_versions(end_offset);
                           });
    return true;
}

void rollout_leader::update_leadership(base::time_point now)
{
    auto const fencing_token = lease_.fencing_token(now);
    cluster_.set_leading(now, fencing_token.has_value());
    if (fencing_token.has_value() == is_leader_)
        return;
    is_leader_ = fencing_token.has_value();
    rollout_.reset();
    callbacks_.leadership_changed(is_leader_);
    if (is_leader_)
        runtime::log(events::duty_acquired, {{"duty", "weights"}, {"fence", *fencing_token}});
    else
        runtime::log(events::duty_lost, {{"duty", "weights"}});
}

void rollout_leader::advance()
{
    auto const now = timers_.now();
    update_leadership(now);
    auto const fencing_token = lease_.fencing_token(now);
    idle_ = true;
    if (!fencing_token || releasing_)
        return;
    // A newer version stands in the store before any engine is ordered to load it.
    auto newest = cluster_.desired_weights().newest_versions();
    if (std::exchange(versions_to_store_, newest) != newest)
        read_membership_now();
    auto const all_engines = engines(now);
    rollout_.set_max_concurrent_loads(max_concurrent_loads(all_engines.size()));
    auto const step =
        rollout_.next_step(now, *fencing_token, cluster_.desired_weights(), all_engines);
    update_draining_engines(now, step.draining);
    idle_ = step.report_requests.empty() && step.orders.empty() && rollout_.idle();
    for (auto const& it : step.report_requests)
        request_engine_report(it);
    for (auto const& it : step.orders)
        send_order(it);
}

void rollout_leader::update_draining_engines(base::time_point now,
                                             std::vector<std::string> const& upstreams)
{
    bool const changed = upstreams != draining_engines_;
    draining_engines_ = upstreams;
    for (auto const& it : draining_engines_)
        cluster_.upstreams().set_draining(it, now + draining_report_lifetime);
    if (changed)
        callbacks_.loads_changed();
}

void rollout_leader::send_order(orders::weight_order const& order)
{
    lease_.record_action(timers_.now());
    // The others are told before the engine can have loaded the weights.
    cluster_.load_ordered(order.upstream, order.model, order.version);
    callbacks_.loads_changed();
    auto const still_leader = [this, fencing_token = order.fencing_token]
    {
        return lease_.fencing_token(timers_.now()) == fencing_token;
    };
    platform_.send_order(order, cluster_.settings().instance, still_leader,
                         [this, order](orders::order_outcome outcome, base::error const& reason)
                         {
                             if (base::is_invalid_input(reason))
                                 log_invalid_answer(order.upstream, reason);
                             handle_order_outcome(order, outcome);
                         });
}

void rollout_leader::handle_order_outcome(orders::weight_order const& order,
                                          orders::order_outcome outcome)
{
    auto const now = timers_.now();
    rollout_.on_order_response(now, order, outcome);
    runtime::log(outcome == orders::order_outcome::accepted ? events::order_sent
                                                            : events::order_refused,
                 {{"upstream", order.upstream},
                  {"model", order.model},
                  {"version", order.version},
                  {"fence", order.fencing_token},
                  {"outcome", to_string(outcome)}});
    bool const done = outcome == orders::order_outcome::accepted ||
                      outcome == orders::order_outcome::already_done;
    if (!done)
        return;
    cluster_.weights_observed(order.upstream, order.model, order.version);
    if (auto const until = rollout_.loading_until(order.upstream))
    {
        cluster_.upstreams().set_loading(order.upstream, *until);
        loads_.push_back({order.upstream, order.model, order.version, {}, false});
        load_ends_.push_back(*until);
        loaded_timer_ = timers_.after(*until - now, [this] { advance(); });
    }
    callbacks_.loads_changed();
    advance();
}

void rollout_leader::request_engine_report(std::string const& upstream)
{
    auto const* const state = cluster_.upstreams().find(upstream);
    if (state == nullptr)
    {
        rollout_.on_report_failed(timers_.now(), upstream, false);
        return;
    }
    platform_.read_engine_report(
        state->record.address,
        [this, upstream](std::optional<orders::order_report> report, base::error const& reason)
        {
            if (report)
            {
                rollout_.on_report(timers_.now(), upstream, *report);
                for (auto const& [model, version] : report->weights)
                    cluster_.weights_observed(upstream, model, version);
            }
            else
                handle_missing_report(upstream, reason);
            advance();
        });
}

void rollout_leader::handle_missing_report(std::string const& upstream, base::error const& reason)
{
    bool const is_invalid = base::is_invalid_input(reason);
    if (is_invalid)
        log_invalid_answer(upstream, reason);
    rollout_.on_report_failed(timers_.now(), upstream, is_invalid);
}

void rollout_leader::release(std::function<void()> done)
{
    releasing_ = true;
    auto const append = lease_.release(timers_.now());
    if (!append)
    {
        done();
        return;
    }
    platform_.append_lease(*append,
                           [done = std::move(done)](append_outcome, std::uint64_t) { done(); });
}

std::vector<membership::weight_load> rollout_leader::loads(base::time_point now) const
{
    // A finished load is reported for a while longer, so that a lost datagram does not matter.
    constexpr base::duration report_time_after_load = 1s;
    std::vector<membership::weight_load> out;
    for (std::size_t i = 0; i < loads_.size(); ++i)
    {
        if (now - load_ends_[i] > report_time_after_load)
            continue;
        auto load = loads_[i];
        load.remaining = std::max(load_ends_[i] - now, base::duration::zero());
        out.push_back(std::move(load));
    }
    for (auto const& it : draining_engines_)
        out.push_back({it, "", 0, draining_report_lifetime, true});
    for (auto const& it : cluster_.upstreams().open_orders())
        out.push_back({it.upstream, it.model, it.version, {}, false, true});
    return out;
}

std::vector<orders::rollout_engine> rollout_leader::engines(base::time_point now) const
{
    std::vector<orders::rollout_engine> out;
    for (auto const& [id, state] : cluster_.upstreams().all())
    {
        if (state.record.weights.empty())
            continue;
        out.push_back({state.record, state.active_requests(now), now < state.backoff_until});
    }
    return out;
}

std::size_t rollout_leader::max_concurrent_loads(std::size_t engines) const
{
    auto const configured = cluster_.settings().max_concurrent_loads;
    if (configured > 0)
        return configured;
    return std::max<std::size_t>(1, (engines + engines_per_load / 2) / engines_per_load);
}

} // namespace savorymount::gateway
