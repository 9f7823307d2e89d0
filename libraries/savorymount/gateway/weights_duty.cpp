#include <savorymount/gateway/weights_duty.hpp>
#include <savorymount/runtime/log_events.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;
namespace events = runtime::log_events;

constexpr base::duration read_interval = 1000ms;
constexpr std::uint64_t read_jitter_ms = 200;
// While the holder of the duty is heard of, the others read only for new members.
constexpr base::duration longest_read_interval = 4s;
// Reports of the holder that may be lost before it counts as silent.
constexpr int lost_reports = 2;
// How long an engine is avoided after the last word that it is being emptied.
constexpr base::duration emptying_notice = 400ms;
constexpr base::duration advance_interval = 50ms;
constexpr base::duration check_interval = 200ms;
// A deployment lets about this share of its engines load at once without slowing them down.
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
    case orders::order_outcome::unanswered:
        break;
    }
    return "unanswered";
}

} // namespace

weights_duty::weights_duty(runtime::timer_service& timers, fleet_view& view, platform_port& port,
                           base::random_source& random, duty_hooks hooks)
    : timers_(timers), view_(view), port_(port), random_(random), hooks_(std::move(hooks)),
      lease_({.instance = view.settings().instance,
              .incarnation = view.settings().incarnation,
              .lease_duration = view.settings().lease,
              .renewal_interval = view.settings().lease / 3}),
      rollout_({})
{
}

void weights_duty::start()
{
    read_duties();
    advance_timer_ = timers_.every(advance_interval, [this] { advance(); });
}

bool weights_duty::holder_is_heard(base::time_point now) const
{
    auto const interval = membership::report_interval(view_.roster().instance_count());
    return holder_heard_at_ && now - *holder_heard_at_ < interval * (lost_reports + 1);
}

void weights_duty::told(base::time_point now, std::uint64_t offset)
{
    holder_heard_at_ = now;
    lease_.on_leader_announced(now, offset);
}

void weights_duty::read_duties_if_due()
{
    auto const now = timers_.now();
    bool const others_hold = !holding_ && holder_is_heard(now);
    if (others_hold && now - read_at_ < longest_read_interval)
        read_timer_ = timers_.after(check_interval, [this] { read_duties_if_due(); });
    else
        read_duties();
}

void weights_duty::read_duties()
{
    read_at_ = timers_.now();
    port_.read_duties(
        [this](std::optional<duty_page> page)
        {
            if (page)
                take_duties(*page);
            auto const jitter = std::chrono::milliseconds(random_.uniform_below(read_jitter_ms));
            read_timer_ = timers_.after(read_interval + jitter, [this] { read_duties_if_due(); });
        });
}

void weights_duty::take_duties(duty_page const& page)
{
    hooks_.members(page.members);
    lease_.on_log_read(timers_.now(), page.lease, page.end);
    compete();
}

void weights_duty::compete()
{
    auto const now = timers_.now();
    if (releasing_ || (leaving_ && !lease_.fencing_token(now)))
        return;
    auto const append = lease_.next_append(now);
    if (!append)
        return;
    port_.append_lease(*append,
                       [this](append_outcome outcome, std::uint64_t end)
                       {
                           auto const at = timers_.now();
                           if (outcome == append_outcome::accepted)
                               lease_.on_append_accepted(at, end);
                           else if (outcome == append_outcome::unanswered)
                               lease_.on_append_outcome_unknown();
                           else
                               lease_.on_append_rejected();
                           note_holding(at);
                       });
}

void weights_duty::note_holding(base::time_point now)
{
    auto const fence = lease_.fencing_token(now);
    if (fence.has_value() == holding_)
        return;
    holding_ = fence.has_value();
    rollout_.reset();
    hooks_.duty_changed(holding_);
    if (holding_)
        runtime::log(events::duty_acquired, {{"duty", "weights"}, {"fence", *fence}});
    else
        runtime::log(events::duty_lost, {{"duty", "weights"}});
}

void weights_duty::advance()
{
    auto const now = timers_.now();
    note_holding(now);
    auto const fence = lease_.fencing_token(now);
    idle_ = true;
    if (!fence || releasing_)
        return;
    auto const all = engines(now);
    rollout_.set_max_concurrent_loads(loading_at_once(all.size()));
    auto const step = rollout_.next_step(now, *fence, view_.weights(), all);
    note_emptying(now, step.draining);
    idle_ = step.report_requests.empty() && step.orders.empty() && rollout_.idle();
    for (auto const& it : step.report_requests)
        ask_report(it);
    for (auto const& it : step.orders)
        send_order(it);
}

void weights_duty::note_emptying(base::time_point now, std::vector<std::string> const& upstreams)
{
    bool const changed = upstreams != emptying_;
    emptying_ = upstreams;
    for (auto const& it : emptying_)
        view_.upstreams().set_draining(it, now + emptying_notice);
    if (changed)
        hooks_.loads_changed();
}

void weights_duty::send_order(orders::weight_order const& order)
{
    lease_.record_action(timers_.now());
    port_.send_order(order, view_.settings().instance,
                     [this, order](orders::order_outcome outcome) { note_order(order, outcome); });
}

void weights_duty::note_order(orders::weight_order const& order, orders::order_outcome outcome)
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
    view_.upstreams().weights_observed(order.upstream, order.model, order.version);
    if (auto const until = rollout_.loading_until(order.upstream))
    {
        view_.upstreams().set_loading(order.upstream, *until);
        loads_.push_back({order.upstream, order.model, order.version, {}, false});
        load_ends_.push_back(*until);
        loaded_timer_ = timers_.after(*until - now, [this] { advance(); });
    }
    hooks_.loads_changed();
    advance();
}

void weights_duty::ask_report(std::string const& upstream)
{
    auto const* const state = view_.upstreams().find(upstream);
    if (state == nullptr)
    {
        rollout_.on_report_failed(timers_.now(), upstream);
        return;
    }
    port_.read_report(state->record.address,
                      [this, upstream](std::optional<orders::order_report> report)
                      {
                          if (report)
                          {
                              rollout_.on_report(timers_.now(), upstream, *report);
                              for (auto const& [model, version] : report->weights)
                                  view_.upstreams().weights_observed(upstream, model, version);
                          }
                          else
                              rollout_.on_report_failed(timers_.now(), upstream);
                          advance();
                      });
}

void weights_duty::release(std::function<void()> done)
{
    releasing_ = true;
    auto const append = lease_.release(timers_.now());
    if (!append)
    {
        done();
        return;
    }
    port_.append_lease(*append,
                       [done = std::move(done)](append_outcome, std::uint64_t) { done(); });
}

std::vector<membership::weight_load> weights_duty::loads(base::time_point now) const
{
    // A finished load is told for a while longer, so that a lost datagram does not matter.
    constexpr base::duration told_after_end = 1s;
    std::vector<membership::weight_load> out;
    for (std::size_t i = 0; i < loads_.size(); ++i)
    {
        if (now - load_ends_[i] > told_after_end)
            continue;
        auto load = loads_[i];
        load.remaining = std::max(load_ends_[i] - now, base::duration::zero());
        out.push_back(std::move(load));
    }
    for (auto const& it : emptying_)
        out.push_back({it, "", 0, emptying_notice, true});
    return out;
}

std::vector<orders::rollout_engine> weights_duty::engines(base::time_point now) const
{
    std::vector<orders::rollout_engine> out;
    for (auto const& [id, state] : view_.upstreams().all())
    {
        if (state.record.weights.empty())
            continue;
        out.push_back({state.record, state.active_requests(now), now < state.backoff_until});
    }
    return out;
}

std::size_t weights_duty::loading_at_once(std::size_t engines) const
{
    auto const configured = view_.settings().loading_at_once;
    if (configured > 0)
        return configured;
    return std::max<std::size_t>(1, (engines + engines_per_load / 2) / engines_per_load);
}

} // namespace savorymount::gateway
