#include <savorymount/rollouts/rollout_progress.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::rollouts
{
namespace
{

using namespace std::chrono_literals;

// Times of the steps as parts of the order's time limit. A version may turn bad late, and every
// request that it got counts as exposure then, so the probe lasts long and the two steps after it
// are short: at an even load, a tenth of all requests covers what the target gets in these three.
constexpr double probe_part = 0.55;
constexpr double step_part = 0.045;
// With few answers on a route a step lasts until then, but a good version must be completed in
// time.
constexpr double longest_probe_part = 0.6;
constexpr double longest_fifth_part = 0.68;
constexpr double longest_two_fifths_part = 0.76;
// Requests at old upstreams are waited for until then. The rest is for a store that is slow.
constexpr double latest_completion_part = 0.92;
// All instances may end together; the store's record tells the order's age then.
constexpr double status_refresh_part = 0.05;
constexpr base::duration min_step_time = 1s;
constexpr std::uint64_t enough_answers = 60;
// Part of the answers of the last step that come from the target when it carries the load.
constexpr double carried_part = 0.9;
// Instances that were cut off hear of the end within this time, or read it from the store.
constexpr base::duration settling_time = 30s;

double longest_part(rollout_step step)
{
    switch (step)
    {
    case rollout_step::probe:
        return longest_probe_part;
    case rollout_step::fifth:
        return longest_fifth_part;
    case rollout_step::two_fifths:
        return longest_two_fifths_part;
    case rollout_step::carry:
        return 0;
    }
    return 0;
}

double share_of(rollout_step step)
{
    switch (step)
    {
    case rollout_step::probe:
        return 0;
    case rollout_step::fifth:
        return 0.2;
    case rollout_step::two_fifths:
        return 0.4;
    case rollout_step::carry:
        return 1;
    }
    return 0;
}

} // namespace

rollout_progress::rollout_progress(base::time_point now, rollout_order order,
                                   exposure_limiter exposure)
    : order_(std::move(order)), ordered_at_(now), exposure_(std::move(exposure)), ramp_(0, 0),
      step_began_at_(now)
{
}

rollout_state rollout_progress::wanted_state() const
{
    if (is_final())
        return *stored_state_;
    if (bad_)
        return rollout_state::rolled_back;
    return complete_ ? rollout_state::completed : rollout_state::running;
}

bool rollout_progress::is_settled(base::time_point now) const
{
    return final_since_ && now - *final_since_ >= settling_time;
}

version_choice rollout_progress::choose(base::time_point now, std::string const& route) const
{
    // The old upstreams have stopped by then, whatever this instance found. Later versions come
    // without an order as well, so the choice is free once the old ones have left the list.
    if (stored_state_ == rollout_state::completed)
        return is_settled(now) ? version_choice::any : version_choice::target_only;
    if (bad_ || !knows_status_)
        return version_choice::others;
    if (step_ == rollout_step::carry)
        return version_choice::target_first;
    auto const& limiter = step_ == rollout_step::probe ? exposure_ : ramp_;
    return limiter.permits(route) ? version_choice::target_first : version_choice::others;
}

double rollout_progress::target_share() const
{
    return step_ == rollout_step::probe ? exposure_.share() : share_of(step_);
}

rollout_step rollout_progress::request_sent(std::string const& route, bool to_target)
{
    exposure_.record(route, to_target);
    ramp_.record(route, to_target);
    return step_;
}

void rollout_progress::answered(evidence_key const& key, bool failed, bool slow)
{
    evidence_.record(key, failed, slow);
}

std::optional<rollout_status> rollout_progress::next_status(base::time_point now) const
{
    if (!knows_status_)
        return std::nullopt;
    auto const state = wanted_state();
    bool const is_outdated = state == rollout_state::running &&
                             age(now) - stored_age_ >= part_of_limit(status_refresh_part) &&
                             age(now) < order_.duration;
    if (stored_state_ == state && !is_outdated)
        return std::nullopt;
    return rollout_status{order_.service, order_.target, state, age(now)};
}

std::optional<bad_version> rollout_progress::judge_target()
{
    if (bad_ || wanted_state() != rollout_state::running)
        return std::nullopt;
    auto found = judge(evidence_.total());
    bad_ = found.has_value();
    return found;
}

void rollout_progress::status_read(base::time_point now,
                                   std::optional<rollout_status> const& status)
{
    knows_status_ = true;
    if (!status || status->target != order_.target)
        return;
    raise_age(now, status->age);
    stored_age_ = std::max(stored_age_, status->age);
    note_stored_state(now, status->state);
}

void rollout_progress::note_stored_state(base::time_point now, rollout_state state)
{
    knows_status_ = true;
    if (is_final())
        return;
    stored_state_ = state;
    if (state != rollout_state::running)
        final_since_ = now;
    bad_ = bad_ || state == rollout_state::rolled_back;
}

void rollout_progress::report_received(base::time_point now, std::string const& process,
                                       rollout_report const& report)
{
    if (report.service != order_.service || report.target != order_.target)
        return;
    raise_age(now, report.age);
    evidence_.add_report(process, report.evidence);
    if (report.stored_state)
        note_stored_state(now, *report.stored_state);
    bad_ = bad_ || report.bad;
    raise_step(now, report.step);
}

rollout_report rollout_progress::make_report(base::time_point now) const
{
    rollout_report out;
    out.service = order_.service;
    out.target = order_.target;
    out.age = age(now);
    out.step = step_;
    out.bad = bad_;
    out.stored_state = stored_state_;
    // After the end, nobody judges any more.
    if (!is_final())
        out.evidence = evidence_.local();
    return out;
}

bool rollout_progress::advance(base::time_point now, rollout_surroundings const& around)
{
    // The step of a former leader has to be known, and a version without a record may be final.
    if (bad_ || complete_ || !knows_status_ || stored_state_ != rollout_state::running)
        return false;
    if (!is_step_over(now) || around.target_upstreams == 0)
        return false;
    if (step_ != last_rollout_step)
    {
        raise_step(now, static_cast<rollout_step>(static_cast<int>(step_) + 1));
        return true;
    }
    complete_ = target_carries_load(around) && (around.requests_at_others <= 0 ||
                                                age(now) >= part_of_limit(latest_completion_part));
    return complete_;
}

bool rollout_progress::is_step_over(base::time_point now) const
{
    if (step_ == rollout_step::probe && age(now) < part_of_limit(probe_part))
        return false;
    if (now - step_began_at_ < std::max(part_of_limit(step_part), min_step_time))
        return false;
    return age(now) >= part_of_limit(longest_part(step_)) ||
           answers_on_each_route(evidence_.total(), step_) >= enough_answers;
}

bool rollout_progress::target_carries_load(rollout_surroundings const& around) const
{
    double by_target = 0;
    double all = 0;
    for (auto const& [key, counts] : evidence_.total())
    {
        if (key.step != last_rollout_step)
            continue;
        all += counts.answers;
        by_target += key.upstream == other_versions ? 0 : counts.answers;
    }
    return around.other_upstreams == 0 || by_target >= carried_part * all;
}

void rollout_progress::raise_step(base::time_point now, rollout_step step)
{
    if (step <= step_)
        return;
    step_ = step;
    step_began_at_ = now;
    ramp_ = exposure_limiter(share_of(step), 0);
}

void rollout_progress::raise_age(base::time_point now, base::duration age)
{
    ordered_at_ = std::min(ordered_at_, now - age);
}

base::duration rollout_progress::part_of_limit(double part) const
{
    return std::chrono::duration_cast<base::duration>(order_.duration * part);
}

} // namespace savorymount::rollouts
