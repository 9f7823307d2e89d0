#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/rollouts/rollout_progress.hpp>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tests/libraries/time_points.hpp>
#include <utility>
#include <vector>

namespace savorymount::tests
{

/// How the target of a generated roll-out answers.
struct version_quality
{
    /// Part of the answers that fail, and that are slow.
    double failing = 0;
    double slow = 0;
    /// Bad from this time on.
    base::duration since{};
    /// Bad only while it gets at least this share of the requests.
    double from_share = 0;
    /// Bad on one route only.
    bool on_one_route = false;

    bool is_bad() const { return failing > 0 || slow > 0; }
};

/// What happens in a generated roll-out.
struct history_options
{
    std::uint64_t seed = 1;
    std::size_t instances = 1;
    double requests_per_second = 200;
    base::duration limit = std::chrono::seconds(40);
    version_quality target;
    std::size_t target_engines = 5;
    double lost_reports = 0;
    bool kills = false;
    bool cuts = false;
    bool store_outage = false;
    /// Kills the leader each time it has decided to write.
    bool kills_leader_before_write = false;
    /// Upstreams of both versions fail, or are slow, for some seconds.
    bool common_fault = false;
    /// One upstream of the target fails part of its requests.
    bool single_fault = false;
};

struct history_result
{
    std::uint64_t requests = 0;
    std::uint64_t target_requests = 0;
    std::uint64_t bad_answers = 0;
    std::optional<base::duration> fiftieth_bad_at;
    /// The last request that an instance in touch sent to the target.
    base::duration last_target_request{};
    std::optional<rollouts::rollout_state> stored;
    std::optional<base::duration> final_at;
    int writes_after_final = 0;
};

/// A deployment that follows one order, in steps of simulated time. Instances exchange reports, one
/// of them leads and writes the status under a condition.
class rollout_history
{
public:
    explicit rollout_history(history_options const& options)
        : options_(options), random_(options.seed)
    {
        for (std::size_t n = 0; n < options_.instances; ++n)
            nodes_.push_back(make_node(n, base::duration::zero()));
        auto const seconds_of_outage = 3 + random_.uniform_below(6);
        outage_begin_ = std::chrono::seconds(random_.uniform_below(30));
        outage_end_ = outage_begin_ + std::chrono::seconds(seconds_of_outage);
        fault_begin_ = std::chrono::seconds(random_.uniform_below(32));
        fault_rate_ = 0.2 + 0.7 * random_.uniform_real();
        fault_is_slow_ = random_.uniform_below(2) == 0;
    }

    history_result run()
    {
        for (now_ = {}; now_ < options_.limit; now_ += step)
        {
            for (auto& it : nodes_)
                disturb(it);
            send_requests();
            deliver_answers();
            exchange_reports();
            for (auto& it : nodes_)
            {
                follow_store(it);
                it.progress->judge_target();
            }
            lead();
            finish_writes();
        }
        return result_;
    }

private:
    static constexpr base::duration step = std::chrono::milliseconds(100);
    static constexpr base::duration time_to_be_in_touch = std::chrono::seconds(4);
    static constexpr double share = 0.1;
    static constexpr int max_kills_before_write = 2;

    struct node
    {
        std::size_t index = 0;
        std::string process;
        std::unique_ptr<rollouts::rollout_progress> progress;
        base::duration undisturbed_since{};
        base::duration cut_until{};
        base::duration read_at{};
    };

    struct answer
    {
        base::duration due{};
        std::size_t node = 0;
        std::string process;
        std::string route;
        std::uint32_t engine = 0;
        rollouts::rollout_step step = rollouts::rollout_step::probe;
        bool failed = false;
        bool slow = false;
    };

    struct write
    {
        base::duration due{};
        std::uint64_t expected = 0;
        rollouts::rollout_status status;
        std::string process;
        std::size_t node = 0;
    };

    base::time_point clock() const { return at(now_); }
    double part_of_credit() const { return 25.0 / static_cast<double>(options_.instances); }

    node make_node(std::size_t index, base::duration since)
    {
        node out;
        out.index = index;
        out.process = std::to_string(index) + "/" + std::to_string(++starts_);
        out.progress = std::make_unique<rollouts::rollout_progress>(
            at(since), rollouts::rollout_order{"desk", "v2", options_.limit},
            rollouts::exposure_limiter(share * 0.9, std::min(1.0, part_of_credit())));
        out.undisturbed_since = since;
        out.read_at = since + std::chrono::milliseconds(200);
        return out;
    }

    bool is_store_up() const
    {
        return !options_.store_outage || now_ < outage_begin_ || now_ >= outage_end_;
    }

    bool is_cut(node const& it) const { return now_ < it.cut_until; }

    void kill(node& it) { it = make_node(it.index, now_); }

    void disturb(node& it)
    {
        constexpr double disturbances_per_step = 0.004;
        if (options_.kills && random_.uniform_real() < disturbances_per_step)
            kill(it);
        if (options_.cuts && !is_cut(it) && random_.uniform_real() < disturbances_per_step)
            it.cut_until = now_ + std::chrono::milliseconds(500 + random_.uniform_below(5000));
        if (is_cut(it))
            it.undisturbed_since = now_;
    }

    void send_requests()
    {
        auto const per_step = options_.requests_per_second * 0.1;
        for (due_requests_ += per_step; due_requests_ >= 1; due_requests_ -= 1)
            send_request(nodes_[random_.uniform_below(nodes_.size())]);
    }

    void send_request(node& from)
    {
        auto const route = random_.uniform_real() < 0.2 ? std::string("rare") : "common";
        auto const choice = from.progress->choose(clock(), route);
        bool const to_target = choice != rollouts::version_choice::others;
        answer out;
        out.step = from.progress->request_sent(route, to_target);
        out.due = now_ + std::chrono::milliseconds(100 + random_.uniform_below(900));
        out.node = from.index;
        out.process = from.process;
        out.route = route;
        bool const common = options_.common_fault && now_ >= fault_begin_ &&
                            now_ < fault_begin_ + std::chrono::seconds(4);
        out.failed = random_.uniform_real() < (common && !fault_is_slow_ ? fault_rate_ : 0.003);
        out.slow = random_.uniform_real() < (common && fault_is_slow_ ? fault_rate_ : 0.03);
        ++result_.requests;
        if (to_target)
            add_target_answer(from, route, out);
        answers_.push_back(std::move(out));
    }

    void add_target_answer(node const& from, std::string const& route, answer& out)
    {
        ++result_.target_requests;
        bool const in_touch = now_ - from.undisturbed_since >= time_to_be_in_touch;
        if (in_touch)
            result_.last_target_request = now_;
        auto const engine = random_.uniform_below(options_.target_engines);
        out.engine = static_cast<std::uint32_t>(engine + 1);
        if (options_.single_fault && engine == 0 && random_.uniform_real() < 0.4)
            out.failed = true;
        auto const& quality = options_.target;
        bool const applies = now_ >= quality.since && (!quality.on_one_route || route == "rare") &&
                             from.progress->target_share() >= quality.from_share;
        if (!applies)
            return;
        bool const failed = random_.uniform_real() < quality.failing;
        bool const slow = !failed && random_.uniform_real() < quality.slow;
        out.failed = out.failed || failed;
        out.slow = out.slow || slow;
        if (failed || slow)
            bad_due_.push_back(out.due);
    }

    void deliver_answers()
    {
        std::vector<answer> waiting;
        for (auto& it : answers_)
        {
            auto& to = nodes_[it.node];
            if (it.due > now_)
                waiting.push_back(std::move(it));
            else if (to.process == it.process)
                to.progress->answered({it.step, it.route, it.engine}, it.failed, it.slow);
        }
        answers_ = std::move(waiting);
        std::erase_if(bad_due_,
                      [this](auto due)
                      {
                          if (due > now_)
                              return false;
                          if (++result_.bad_answers == 50)
                              result_.fiftieth_bad_at = now_;
                          return true;
                      });
    }

    void exchange_reports()
    {
        auto const interval = step * static_cast<int>(2 + options_.instances / 15);
        for (auto& from : nodes_)
        {
            auto const offset = step * static_cast<int>(from.index);
            if (is_cut(from) || (now_ + offset) % interval != base::duration::zero())
                continue;
            auto const report = from.progress->make_report(clock());
            for (auto& to : nodes_)
            {
                bool const lost = random_.uniform_real() < options_.lost_reports;
                if (to.index != from.index && !is_cut(to) && !lost)
                    to.progress->report_received(clock(), from.process, report);
            }
        }
    }

    void follow_store(node& it)
    {
        if (now_ < it.read_at || is_cut(it) || !is_store_up())
            return;
        it.read_at = now_ + std::chrono::seconds(5);
        it.progress->status_read(clock(), status_);
    }

    void lead()
    {
        auto const leader = std::find_if(nodes_.begin(), nodes_.end(),
                                         [this](auto const& it) { return !is_cut(it); });
        if (leader == nodes_.end())
            return;
        auto& progress = *leader->progress;
        progress.advance(clock(), {options_.target_engines, 1, 0});
        bool const is_writing =
            std::any_of(writes_.begin(), writes_.end(),
                        [&](auto const& it) { return it.process == leader->process; });
        auto const status = progress.next_status(clock());
        bool const knows_store = progress.stored_state() == stored_state();
        if (!status || is_writing || !knows_store)
            return;
        bool const is_new_state = status->state != stored_state();
        bool const is_killed = options_.kills_leader_before_write && is_new_state &&
                               kills_before_write_ < max_kills_before_write &&
                               random_.uniform_below(3) > 0;
        kills_before_write_ += is_killed ? 1 : 0;
        // A request that a killed process has sent may still arrive.
        bool const is_sent = !is_killed || random_.uniform_below(2) == 0;
        auto const delay = std::chrono::milliseconds(random_.uniform_below(is_killed ? 3000 : 300));
        if (is_sent)
            writes_.push_back({now_ + delay, revision_, *status, leader->process, leader->index});
        if (is_killed)
            kill(*leader);
    }

    std::optional<rollouts::rollout_state> stored_state() const
    {
        return status_ ? std::optional(status_->state) : std::nullopt;
    }

    void finish_writes()
    {
        std::vector<write> waiting;
        for (auto& it : writes_)
        {
            if (it.due > now_)
                waiting.push_back(std::move(it));
            else if (is_store_up())
                store(it);
        }
        writes_ = std::move(waiting);
    }

    void store(write const& it)
    {
        auto& writer = nodes_[it.node];
        bool const runs = writer.process == it.process;
        if (it.expected == revision_)
        {
            bool const was_final = status_ && status_->state != rollouts::rollout_state::running;
            result_.writes_after_final += was_final ? 1 : 0;
            status_ = it.status;
            ++revision_;
            result_.stored = status_->state;
            if (!was_final && status_->state != rollouts::rollout_state::running)
                result_.final_at = now_;
        }
        if (runs)
            writer.progress->status_read(clock(), status_);
    }

    history_options options_;
    base::random_source random_;
    std::vector<node> nodes_;
    std::vector<answer> answers_;
    std::vector<base::duration> bad_due_;
    std::vector<write> writes_;
    std::optional<rollouts::rollout_status> status_;
    std::uint64_t revision_ = 0;
    int starts_ = 0;
    int kills_before_write_ = 0;
    double due_requests_ = 0;
    base::duration now_{};
    base::duration outage_begin_{};
    base::duration outage_end_{};
    base::duration fault_begin_{};
    double fault_rate_ = 0;
    bool fault_is_slow_ = false;
    history_result result_;
};

} // namespace savorymount::tests
