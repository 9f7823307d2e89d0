#include <savorymount/deduplication/idempotency_claims.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <tests/libraries/deduplication/run_history.hpp>
#include <tests/libraries/seeded_property.hpp>

namespace savorymount::deduplication
{
namespace
{

constexpr base::duration window = std::chrono::seconds(1'000);
constexpr base::duration log_retention = std::chrono::seconds(1'500);
constexpr base::duration clock_skew = std::chrono::seconds(2);

claim make_claim(std::string const& key, std::string const& request, std::string const& agent,
                 std::string const& incarnation)
{
    return {"counter", key, request, agent, incarnation, ""};
}

std::int64_t to_milliseconds(base::time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

idempotency_claims make_claims(std::size_t max_winners = 100, bool others_live = true)
{
    return {{window, max_winners},
            "agent-1",
            "i1",
            [others_live](std::string const&, std::string const&)
            {
                return others_live;
            }};
}

// Guards against a second run when another agent's claim has a lower offset in the log.
TEST(idempotency_claims, claim_with_the_lowest_offset_wins)
{
    base::time_point const now(std::chrono::seconds(100));
    auto claims = make_claims();
    claims.on_log_end_reached(1);
    EXPECT_EQ(claims.decide_before_append("counter", "k", "", now).action, claim_action::append);
    auto const own = make_claim("k", "r1", "agent-1", "i1");
    claims.record_append(own, now);
    EXPECT_EQ(claims.decide_after_append(own, now).action, claim_action::wait);
    claims.apply(1, 0, {make_claim("k", "r2", "agent-2", "i2"), own}, now);
    EXPECT_EQ(claims.decide_after_append(own, now),
              (claim_decision{claim_action::attach, "r2", "agent-2", "i2"}));
    EXPECT_EQ(claims.decide_before_append("workshop", "k", "", now).action, claim_action::append);
}

// Guards against allowing a run twice, and against a key that can't run anymore because its request
// was refused before it reached the upstream.
TEST(idempotency_claims, winner_runs_the_request_once)
{
    base::time_point const now(std::chrono::seconds(100));
    auto claims = make_claims();
    claims.on_log_end_reached(1);
    auto const own = make_claim("k", "r1", "agent-1", "i1");
    claims.record_append(own, now);
    claims.apply(1, 0, {own}, now);
    EXPECT_EQ(claims.decide_after_append(own, now),
              (claim_decision{claim_action::run_here, "r1", "agent-1", "i1"}));
    EXPECT_EQ(claims.decide_after_append(own, now),
              (claim_decision{claim_action::attach, "r1", "agent-1", "i1"}));
    claims.withdraw("counter", "k", "r2");
    EXPECT_EQ(claims.decide_before_append("counter", "k", "", now).action, claim_action::attach);
    claims.withdraw("counter", "k", "r1");
    EXPECT_EQ(claims.decide_before_append("counter", "k", "", now),
              (claim_decision{claim_action::run_here, "r1", "agent-1", "i1"}));
}

// Guards against a second run on a process that replaced the winner or on any other process.
TEST(idempotency_claims, outcome_is_unknown_when_the_winner_is_no_longer_live)
{
    base::time_point const now(std::chrono::seconds(100));
    auto claims = make_claims(100, false);
    claims.apply(1, 0, {make_claim("k", "r1", "agent-1", "i0")}, now);
    claims.on_log_end_reached(2);
    EXPECT_EQ(claims.decide_before_append("counter", "k", "", now).action,
              claim_action::refuse_unknown);
}

// Guards against a run while another agent's claim of the key may not have been read.
TEST(idempotency_claims, refuses_while_the_log_is_unavailable_or_not_fully_read)
{
    base::time_point const now(std::chrono::seconds(100));
    auto claims = make_claims();
    EXPECT_EQ(claims.decide_before_append("counter", "k", "", now).action,
              claim_action::refuse_not_run);
    claims.on_log_end_reached(1);
    claims.set_log_available(false);
    EXPECT_EQ(claims.decide_before_append("counter", "k", "", now).action,
              claim_action::refuse_not_run);
    claims.set_log_available(true);
    EXPECT_EQ(claims.decide_before_append("counter", "k", "", now).action, claim_action::append);

    auto const own = make_claim("k", "r1", "agent-1", "i1");
    claims.record_append(own, now);
    claims.on_records_lost();
    claims.apply(5, 0, {own}, now);
    claims.on_log_end_reached(6);
    EXPECT_EQ(claims.decide_after_append(own, now).action, claim_action::refuse_not_run);
}

// Guards against returning the outcome of one request for a different request.
TEST(idempotency_claims, a_key_used_for_another_request_is_a_conflict)
{
    base::time_point const now(std::chrono::seconds(100));
    auto claims = make_claims();
    auto winner = make_claim("k", "r1", "agent-2", "i2");
    winner.request_digest = "d1";
    claims.apply(1, 0, {winner}, now);
    claims.on_log_end_reached(2);
    EXPECT_EQ(claims.decide_before_append("counter", "k", "d1", now).action, claim_action::attach);
    EXPECT_EQ(claims.decide_before_append("counter", "k", "", now).action, claim_action::attach);
    EXPECT_EQ(claims.decide_before_append("counter", "k", "d2", now).action,
              claim_action::refuse_conflict);
}

// Guards against a run that starts when the claim has already expired at other readers.
TEST(idempotency_claims, claim_older_than_half_the_window_does_not_run)
{
    base::time_point const sent(std::chrono::seconds(100));
    auto const own = make_claim("k", "r1", "agent-1", "i1");
    for (auto const age : {window / 2 - std::chrono::seconds(1), window / 2})
    {
        auto claims = make_claims();
        claims.on_log_end_reached(1);
        claims.record_append(own, sent);
        claims.apply(1, 0, {own}, sent + age);
        EXPECT_EQ(claims.decide_after_append(own, sent + age).action,
                  age < window / 2 ? claim_action::run_here : claim_action::refuse_not_run);
    }
}

// Guards against keys that can never be used again.
TEST(idempotency_claims, key_can_be_claimed_again_after_the_window)
{
    base::time_point const now(std::chrono::seconds(100));
    auto claims = make_claims();
    claims.on_log_end_reached(1);
    // The platform's clock steps back; the time of the log does not.
    claims.apply(1, 5'000, {}, now);
    claims.apply(2, 4'000, {make_claim("k", "r1", "agent-2", "i2")}, now);
    claims.apply(3, 5'000 + 999'999, {make_claim("k", "r2", "agent-3", "i3")}, now);
    EXPECT_EQ(claims.decide_before_append("counter", "k", "", now).request_id, "r1");
    claims.apply(4, 5'000 + 1'000'000, {make_claim("k", "r3", "agent-3", "i3")}, now);
    EXPECT_EQ(claims.decide_before_append("counter", "k", "", now).request_id, "r3");
    // Without newer records, the local clock determines that the claim has expired.
    EXPECT_EQ(claims.decide_before_append("counter", "k", "", now + window).action,
              claim_action::append);
}

// Guards against a second run of a key whose winner was evicted.
TEST(idempotency_claims, unknown_keys_are_refused_after_a_winner_was_evicted)
{
    base::time_point const now(std::chrono::seconds(100));
    auto claims = make_claims(2);
    claims.on_log_end_reached(1);
    for (std::uint64_t n = 1; n <= 3; ++n)
        claims.apply(n, 0, {make_claim("k" + std::to_string(n), "r", "agent-2", "i2")}, now);
    EXPECT_EQ(claims.size(), 2U);
    EXPECT_EQ(claims.decide_before_append("counter", "k1", "", now).action,
              claim_action::refuse_not_run);
    EXPECT_EQ(claims.decide_before_append("counter", "k3", "", now).action, claim_action::attach);
    auto const own = make_claim("k1", "r1", "agent-1", "i1");
    claims.record_append(own, now);
    claims.apply(4, 0, {own}, now);
    EXPECT_EQ(claims.decide_after_append(own, now).action, claim_action::refuse_not_run);
    claims.apply(5, 1'000'000, {}, now);
    EXPECT_EQ(claims.decide_before_append("counter", "k1", "", now).action, claim_action::append);
}

// Guards against a checker that accepts everything.
TEST(run_history, detects_each_kind_of_violation)
{
    using kind = run_event::kind;
    base::time_point const start;
    run_event const first{kind::run, start, "k", "r1"};
    run_event const early{kind::run, start + window / 2, "k", "r2"};
    run_event const later{kind::run, start + window, "k", "r2"};
    EXPECT_FALSE(find_violation({first, later}, window));
    EXPECT_FALSE(find_violation({first, {kind::reported_not_run, start, "k", "r2"}}, window));
    EXPECT_TRUE(find_violation({first, early}, window));
    EXPECT_TRUE(find_violation({first, {kind::run, start, "k2", "r1"}}, window));
    EXPECT_TRUE(find_violation({first, {kind::reported_not_run, start, "k", "r1"}}, window));
    EXPECT_TRUE(find_violation({{kind::reported_not_run, start, "k", "r1"}, first}, window));
}

struct pending_request
{
    std::string key;
    claim own;
};

struct agent_process
{
    std::string agent;
    std::string incarnation;
    std::unique_ptr<idempotency_claims> claims;
    std::vector<pending_request> pending;
};

struct log_record
{
    std::uint64_t offset = 0;
    base::time_point appended_at;
    std::int64_t time_ms = 0;
    std::vector<claim> claims;
};

struct outcome_counts
{
    int runs = 0;
    int attached = 0;
    int unknown = 0;
    int not_run = 0;
    int repeated_keys = 0;
};

/// Simulates agents, a log and clients under a virtual clock. Replaced agent processes continue to
/// run, like a suspended process that resumes, and the list of live agents may be outdated.
class simulated_cluster
{
public:
    simulated_cluster(std::size_t max_winners, outcome_counts& counts)
        : max_winners_(max_winners), counts_(counts)
    {
        for (int n = 0; n < 3; ++n)
            start_process("agent-" + std::to_string(n));
        refresh_live_agents();
    }

    void submit_request(std::size_t process_index, std::string const& key, bool refused_at_upstream)
    {
        submit(process_at(process_index), key, "r" + std::to_string(++requests_),
               refused_at_upstream, 0);
    }

    void poll_pending(std::size_t process_index, bool refused_at_upstream)
    {
        auto& it = process_at(process_index);
        for (auto const& request : std::exchange(it.pending, {}))
        {
            auto const decision = it.claims->decide_after_append(request.own, now_);
            if (decision.action == claim_action::wait)
                it.pending.push_back(request);
            else
                apply_decision(it, decision, request.key, request.own.request_id,
                               refused_at_upstream, 0);
        }
    }

    void abandon_pending(std::size_t process_index)
    {
        for (auto const& it : std::exchange(process_at(process_index).pending, {}))
            report_not_run(it.key, it.own.request_id);
    }

    void read_log(std::size_t process_index, std::size_t limit)
    {
        auto& claims = *process_at(process_index).claims;
        bool const may_have_missed =
            claims.next_offset() > 0 && !log_.empty() && log_.front().offset > claims.next_offset();
        if (may_have_missed)
            claims.on_records_lost();
        for (auto const& it : log_)
        {
            if (it.offset < claims.next_offset())
                continue;
            if (limit-- == 0)
                return;
            claims.apply(it.offset, it.time_ms, it.claims, now_);
        }
        claims.on_log_end_reached(next_offset_);
    }

    void append_in_flight(std::size_t position, bool once)
    {
        if (in_flight_.empty())
            return append({});
        auto const it = in_flight_.begin() + static_cast<long>(position % in_flight_.size());
        append(*it);
        if (once)
            in_flight_.erase(it);
    }

    void drop_append(std::size_t position)
    {
        if (!in_flight_.empty())
            in_flight_.erase(in_flight_.begin() + static_cast<long>(position % in_flight_.size()));
    }

    void replace_process(std::size_t process_index)
    {
        auto const agent = process_at(process_index).agent;
        start_process(agent);
    }

    void refresh_live_agents()
    {
        live_.clear();
        for (auto const& it : processes_)
            live_[it->agent] = it->incarnation;
    }

    void set_log_available(std::size_t process_index, bool available)
    {
        process_at(process_index).claims->set_log_available(available);
    }

    void advance(base::duration time)
    {
        now_ += time;
        std::erase_if(log_, [&](auto const& it) { return it.appended_at + log_retention < now_; });
    }

    void set_clock_skew(base::duration skew) { clock_skew_ = skew; }

    std::vector<run_event> const& history() const { return history_; }

private:
    agent_process& process_at(std::size_t process_index)
    {
        return *processes_[process_index % processes_.size()];
    }

    void start_process(std::string const& agent)
    {
        auto it = std::make_unique<agent_process>();
        it->agent = agent;
        it->incarnation = "i" + std::to_string(processes_.size());
        it->claims = std::make_unique<idempotency_claims>(
            claim_limits{window, max_winners_}, it->agent, it->incarnation,
            [this](std::string const& name, std::string const& incarnation)
            { return live_[name] == incarnation; });
        processes_.push_back(std::move(it));
    }

    void append(std::vector<claim> const& claims)
    {
        log_.push_back({next_offset_++, now_, to_milliseconds(now_ + clock_skew_), claims});
    }

    void submit(agent_process& process, std::string const& key, std::string const& request,
                bool refused_at_upstream, int forward_count)
    {
        auto const decision = process.claims->decide_before_append("counter", key, "", now_);
        if (decision.action != claim_action::append)
            return apply_decision(process, decision, key, request, refused_at_upstream,
                                  forward_count);
        auto const own = make_claim(key, request, process.agent, process.incarnation);
        process.claims->record_append(own, now_);
        process.pending.push_back({key, own});
        bool const joins_batch = !in_flight_.empty() && in_flight_.back().size() < 3 &&
                                 in_flight_.back().front().incarnation == process.incarnation;
        if (joins_batch)
            in_flight_.back().push_back(own);
        else
            in_flight_.push_back({own});
    }

    void apply_decision(agent_process& process, claim_decision const& decision,
                        std::string const& key, std::string const& request,
                        bool refused_at_upstream, int forward_count)
    {
        switch (decision.action)
        {
        case claim_action::run_here:
            if (refused_at_upstream)
            {
                process.claims->withdraw("counter", key, decision.request_id);
                return report_not_run(key, request);
            }
            ++counts_.runs;
            for (auto const& it : history_)
                if (it.type == run_event::kind::run && it.key == key)
                    ++counts_.repeated_keys;
            history_.push_back({run_event::kind::run, now_, key, request});
            return;
        case claim_action::attach:
            ++counts_.attached;
            for (auto const& it : processes_)
                if (it.get() != &process && it->agent == decision.agent &&
                    it->incarnation == decision.incarnation && forward_count < 3)
                    return submit(*it, key, request, refused_at_upstream, forward_count + 1);
            return;
        case claim_action::refuse_not_run:
            return report_not_run(key, request);
        default:
            ++counts_.unknown;
        }
    }

    void report_not_run(std::string const& key, std::string const& request)
    {
        ++counts_.not_run;
        history_.push_back({run_event::kind::reported_not_run, now_, key, request});
    }

    std::size_t max_winners_;
    outcome_counts& counts_;
    base::time_point now_{std::chrono::seconds(10)};
    base::duration clock_skew_{0};
    std::vector<log_record> log_;
    std::uint64_t next_offset_ = 1;
    std::vector<std::vector<claim>> in_flight_;
    std::vector<std::unique_ptr<agent_process>> processes_;
    std::map<std::string, std::string> live_;
    std::vector<run_event> history_;
    int requests_ = 0;
};

struct step
{
    int kind = 0;
    int process_index = 0;
    int detail = 0;
};

std::ostream& operator<<(std::ostream& out, step const& it)
{
    return out << '{' << it.kind << ',' << it.process_index << ',' << it.detail << '}';
}

void run_step(simulated_cluster& it, step const& step)
{
    auto const process_index = static_cast<std::size_t>(step.process_index);
    switch (step.kind)
    {
    case 0:
        return it.submit_request(process_index, step.detail % 3 == 0 ? "k2" : "k1",
                                 step.detail % 7 == 0);
    case 1:
        return it.read_log(process_index, step.detail % 4 != 0 ? 1'000 : 1);
    case 2:
        return it.poll_pending(process_index, step.detail % 7 == 0);
    case 3:
        return it.append_in_flight(process_index, step.detail % 4 != 0);
    case 4:
        return it.drop_append(process_index);
    case 5:
        return it.replace_process(process_index);
    case 6:
        return it.refresh_live_agents();
    case 7:
        return it.set_log_available(process_index, step.detail % 3 != 0);
    case 8:
        return it.abandon_pending(process_index);
    case 9:
        return it.advance(std::chrono::seconds(step.detail % 5));
    case 10:
        return it.advance(std::chrono::seconds(100 * (step.detail % 12)));
    default:
        return it.set_clock_skew(clock_skew * (step.detail % 2));
    }
}

// Guards against a second run of a key under any order of concurrent requests, lost
// acknowledgements, repeated and late appends, replaced and suspended agents, outdated agent lists,
// log outages, expired records and evicted winners.
TEST(idempotency_claims, key_runs_at_most_once_in_every_generated_history)
{
    outcome_counts counts;
    tests::check_property(
        20'000,
        [&counts]
        {
            auto const kind = rc::gen::weightedElement<int>({{20, 0},
                                                             {24, 1},
                                                             {20, 2},
                                                             {20, 3},
                                                             {2, 4},
                                                             {2, 5},
                                                             {3, 6},
                                                             {2, 7},
                                                             {2, 8},
                                                             {8, 9},
                                                             {3, 10},
                                                             {2, 11}});
            auto const number = rc::gen::inRange(0, 840);
            auto const steps = *rc::gen::container<std::vector<step>>(
                rc::gen::construct<step>(kind, number, number));
            auto const max_winners = *rc::gen::element<std::size_t>(1, 2, 100);
            simulated_cluster it(max_winners, counts);
            // In most histories the agents have read the log before the first step.
            if (*rc::gen::inRange(0, 4) > 0)
                for (std::size_t process_index = 0; process_index < 3; ++process_index)
                    it.read_log(process_index, 1);
            for (auto const& next : steps)
                run_step(it, next);
            auto const violation = find_violation(it.history(), window / 2 - 2 * clock_skew);
            RC_ASSERT(violation.value_or("none") == "none");
        });
    // Every kind of outcome must occur, otherwise the histories would prove nothing.
    EXPECT_GT(counts.runs, 1'000);
    EXPECT_GT(counts.attached, 1'000);
    EXPECT_GT(counts.unknown, 100);
    EXPECT_GT(counts.not_run, 1'000);
    EXPECT_GT(counts.repeated_keys, 10);
}

} // namespace
} // namespace savorymount::deduplication
