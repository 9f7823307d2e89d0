#pragma once

#include <savorymount/rollouts/answer_evidence.hpp>
#include <savorymount/rollouts/exposure_limiter.hpp>
#include <savorymount/rollouts/rollout_order.hpp>
#include <savorymount/rollouts/version_judge.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace savorymount::rollouts
{

/// Which versions may get a request.
enum class version_choice
{
    any,
    /// Any but the target.
    others,
    /// The target, or another one if the target's upstreams take no request.
    target_first,
    target_only
};

/// What an instance tells the others of a roll-out.
struct rollout_report
{
    std::string service;
    std::string target;
    base::duration age{};
    rollout_step step = rollout_step::probe;
    /// The sender found the target bad, or heard so.
    bool bad = false;
    /// State in the platform's store, as far as the sender knows; empty if it knows none.
    std::optional<rollout_state> stored_state;
    /// Counts of the sender's process.
    evidence_counts evidence;

    bool operator==(rollout_report const&) const = default;
};

/// What the leader sees beside the reports when it decides on the next step.
struct rollout_surroundings
{
    /// Upstreams that take requests.
    std::size_t target_upstreams = 0;
    std::size_t other_upstreams = 0;
    /// Requests of all instances at upstreams of other versions.
    double requests_at_others = 0;
};

/// One instance's view of one order: which version its next request may run on, whether the target
/// is bad, and, at the leader, the next step. Steps and judgements are never taken back.
class rollout_progress
{
public:
    /// `exposure` bounds what the target gets in the first step.
    rollout_progress(base::time_point now, rollout_order order, exposure_limiter exposure);

    rollout_order const& order() const { return order_; }
    /// Time since the order was given, as far as any instance knows.
    base::duration age(base::time_point now) const { return now - ordered_at_; }
    rollout_step step() const { return step_; }
    answer_evidence const& evidence() const { return evidence_; }
    exposure_limiter const& exposure() const { return exposure_; }
    /// The state that the store should hold.
    rollout_state wanted_state() const;
    /// The record that the leader should write now; empty if the store's one will do, or is not
    /// known.
    std::optional<rollout_status> next_status(base::time_point now) const;
    /// The state that the store is known to hold; empty if it holds none, or none is known.
    std::optional<rollout_state> stored_state() const { return stored_state_; }
    /// Whether the target was found bad.
    bool is_bad() const { return bad_; }

    version_choice choose(base::time_point now, std::string const& route) const;
    /// Whether the state has been final for so long that every instance has heard of it.
    bool is_settled(base::time_point now) const;
    /// Share of the requests that the target gets in this step.
    double target_share() const;
    /// A request of the service was sent. Returns the step to which its answer counts.
    rollout_step request_sent(std::string const& route, bool to_target);
    /// An upstream answered.
    void answered(evidence_key const& key, bool failed, bool slow);

    /// Judges the target by the evidence of all. Returns the cause when it is found bad.
    std::optional<bad_version> judge_target();

    /// The record in the store was read, or written by this instance; empty if there is none.
    void status_read(base::time_point now, std::optional<rollout_status> const& status);
    /// Another instance's process reported; `process` differs for each start.
    void report_received(base::time_point now, std::string const& process,
                         rollout_report const& report);
    rollout_report make_report(base::time_point now) const;

    /// At the leader: takes the next step if it is due. Returns whether anything changed.
    bool advance(base::time_point now, rollout_surroundings const& around);

private:
    void raise_step(base::time_point now, rollout_step step);
    void raise_age(base::time_point now, base::duration age);
    bool is_final() const { return final_since_.has_value(); }
    void note_stored_state(base::time_point now, rollout_state state);
    bool target_carries_load(rollout_surroundings const& around) const;
    bool is_step_over(base::time_point now) const;
    base::duration part_of_limit(double part) const;

    rollout_order order_;
    base::time_point ordered_at_;
    exposure_limiter exposure_;
    /// Counts of the steps with a fixed share; it has no bound to keep, only a ratio.
    exposure_limiter ramp_;
    rollout_step step_ = rollout_step::probe;
    base::time_point step_began_at_;
    answer_evidence evidence_;
    bool bad_ = false;
    /// The target carries the load; the operators may be told.
    bool complete_ = false;
    /// Whether anything is known of what the store holds. Before, the target may have been rolled
    /// back already.
    bool knows_status_ = false;
    std::optional<rollout_state> stored_state_;
    /// Age of the order in the record that this instance knows.
    base::duration stored_age_{};
    /// When the stored state was first known to be final.
    std::optional<base::time_point> final_since_;
};

} // namespace savorymount::rollouts
