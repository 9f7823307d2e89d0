#include "../seeded_property.hpp"
#include "limits_simulation.hpp"

#include <algorithm>
#include <ostream>

namespace savorymount::tests
{

namespace
{

char const* fault_name(fault_kind kind)
{
    switch (kind)
    {
    case fault_kind::kill:
        return "kill";
    case fault_kind::freeze:
        return "freeze";
    case fault_kind::log_unreachable:
        return "log_unreachable";
    case fault_kind::list_unreachable:
        return "list_unreachable";
    case fault_kind::agents_unreachable:
        return "agents_unreachable";
    case fault_kind::unlisted:
        return "unlisted";
    case fault_kind::log_down:
        return "log_down";
    case fault_kind::list_down:
        return "list_down";
    case fault_kind::lose_append_responses:
        return "lose_append_responses";
    case fault_kind::leave:
        return "leave";
    case fault_kind::list_stale:
        return "list_stale";
    }
    return "?";
}

double seconds(base::duration it)
{
    return std::chrono::duration<double>(it).count();
}

} // namespace

std::ostream& operator<<(std::ostream& out, simulation_plan const& it)
{
    out << "seed=" << it.seed << " agents=" << it.agents << " rate=" << it.rate
        << " burst=" << it.burst << " drift=" << it.clock_drift_permille
        << " length=" << seconds(it.length);
    for (auto const& d : it.demands)
        out << "\n  demand at=" << seconds(d.at) << " for=" << seconds(d.length)
            << (d.origin == time_origin::takeover ? " after takeover" : "")
            << " tokens=" << d.tokens << " per_second=" << d.requests_per_second
            << " agent=" << d.agent;
    for (auto const& f : it.faults)
        out << "\n  fault " << fault_name(f.kind) << " at=" << seconds(f.at)
            << (f.origin == time_origin::takeover ? " after takeover" : "")
            << " for=" << seconds(f.length) << " agent=" << f.agent;
    return out;
}

namespace
{

rc::Gen<base::duration> milliseconds_between(int low, int high)
{
    return rc::gen::map(rc::gen::inRange(low, high),
                        [](int n) { return base::duration(std::chrono::milliseconds(n)); });
}

rc::Gen<demand> generate_demand(int last_ms)
{
    return rc::gen::build<demand>(
        rc::gen::set(&demand::at, milliseconds_between(500, last_ms)),
        rc::gen::set(&demand::length, milliseconds_between(500, 20'000)),
        rc::gen::set(&demand::tokens, rc::gen::inRange<std::uint64_t>(10, 800)),
        rc::gen::set(&demand::requests_per_second, rc::gen::inRange<unsigned>(1, 20)));
}

rc::Gen<fault> generate_fault(std::vector<fault_kind> const& kinds, int first_ms, int last_ms)
{
    return rc::gen::build<fault>(
        rc::gen::set(&fault::kind, rc::gen::elementOf(kinds)),
        rc::gen::set(&fault::at, milliseconds_between(first_ms, last_ms)),
        rc::gen::set(&fault::length, milliseconds_between(100, 40'000)),
        rc::gen::set(&fault::agent, rc::gen::weightedOneOf<unsigned>(
                                        {{2, rc::gen::inRange<unsigned>(0, 4)},
                                         {3, rc::gen::just<unsigned>(newest_holder)}})));
}

simulation_plan generate_plan()
{
    simulation_plan out;
    out.seed = *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>());
    out.agents = *rc::gen::inRange<unsigned>(2, 5);
    out.rate = *rc::gen::inRange<std::uint64_t>(100, 4000);
    out.burst = out.rate * *rc::gen::inRange<std::uint64_t>(1, 12);
    out.clock_drift_permille = *rc::gen::element(0U, 10U);
    return out;
}

void expect_within_limit(limits_simulation const& simulation, simulation_plan const& plan)
{
    // The clock drift bound applies to the length of the interval.
    auto const rate = static_cast<double>(plan.rate) *
                      (1 + static_cast<double>(plan.clock_drift_permille) / 1000);
    auto const violation =
        find_limit_violation(simulation.admitted_requests(), rate, static_cast<double>(plan.burst));
    if (!violation)
        return;
    std::ostringstream text;
    text << plan << "\ninterval " << seconds(violation->from.time_since_epoch()) - 1000 << " s to "
         << seconds(violation->to.time_since_epoch()) - 1000 << " s: admitted "
         << violation->admitted << ", allowed " << violation->allowed;
    RC_FAIL(text.str());
}

std::vector<fault_kind> const bounded_fault_kinds = {fault_kind::kill,
                                                     fault_kind::freeze,
                                                     fault_kind::log_unreachable,
                                                     fault_kind::list_unreachable,
                                                     fault_kind::agents_unreachable,
                                                     fault_kind::unlisted,
                                                     fault_kind::log_down,
                                                     fault_kind::list_down,
                                                     fault_kind::lose_append_responses,
                                                     fault_kind::leave};

} // namespace

// Guards against a workspace that exceeds its rate and burst under any combination of faults within
// the stated bounds.
TEST(limits_invariant, holds_under_mixed_faults)
{
    unsigned takeovers = 0;
    std::size_t admitted = 0;
    check_seeded(0x11, 600,
                 [&]
                 {
                     auto plan = generate_plan();
                     plan.demands = *rc::gen::container<std::vector<demand>>(
                         *rc::gen::inRange<std::size_t>(1, 6), generate_demand(80'000));
                     plan.faults = *rc::gen::container<std::vector<fault>>(
                         *rc::gen::inRange<std::size_t>(0, 10),
                         generate_fault(bounded_fault_kinds, 100, 70'000));
                     limits_simulation simulation(plan);
                     simulation.run();
                     takeovers +=
                         simulation.bucket_starts() - std::min(simulation.bucket_starts(), 1U);
                     admitted += simulation.admitted_requests().size();
                     expect_within_limit(simulation, plan);
                 });
    // Runs without admissions or takeovers would not test the limit.
    EXPECT_GT(takeovers, 50U);
    EXPECT_GT(admitted, 10'000U);
}

// Guards against an old and a new owner that both grant during a takeover: the old owner runs but
// is missing from the list, and it may be frozen or disconnected from the log.
TEST(limits_invariant, holds_around_takeover_from_running_owner)
{
    unsigned takeovers = 0;
    unsigned runs_with_two_owners = 0;
    check_seeded(
        0x12, 200,
        [&]
        {
            auto plan = generate_plan();
            plan.length = std::chrono::seconds(60);
            // The owner is missing from the list from 10 s on, so takeovers happen from 26 s on.
            plan.faults = {{fault_kind::unlisted, std::chrono::seconds(10),
                            *milliseconds_between(20'000, 50'000), newest_holder}};
            auto const more_faults = *rc::gen::container<std::vector<fault>>(
                *rc::gen::inRange<std::size_t>(0, 4),
                generate_fault({fault_kind::freeze, fault_kind::log_unreachable,
                                fault_kind::list_unreachable, fault_kind::agents_unreachable,
                                fault_kind::lose_append_responses},
                               20'000, 40'000));
            plan.faults.insert(plan.faults.end(), more_faults.begin(), more_faults.end());
            auto const demand_start = *milliseconds_between(20'000, 40'000);
            plan.demands = {{demand_start, std::chrono::seconds(15), plan.rate / 10 + 1, 20}};
            limits_simulation simulation(plan);
            simulation.run();
            takeovers += simulation.bucket_starts() - std::min(simulation.bucket_starts(), 1U);
            runs_with_two_owners += simulation.max_concurrent_owners() > 1 ? 1U : 0U;
            expect_within_limit(simulation, plan);
        });
    EXPECT_GT(takeovers, 100U);
    // Both consider themselves owner while the old one is frozen or disconnected; only its clock
    // stops it from granting.
    EXPECT_GT(runs_with_two_owners, 0U);
}

// Guards against a new owner that grants while the old one still may: the old owner was idle, is
// disconnected from the log when the takeover happens, and then grants its whole bucket.
TEST(limits_invariant, holds_when_old_owner_grants_at_takeover)
{
    unsigned runs_with_two_owners = 0;
    check_seeded(0x15, 300,
                 [&]
                 {
                     auto plan = generate_plan();
                     plan.length = std::chrono::seconds(60);
                     plan.faults = {{fault_kind::unlisted, std::chrono::seconds(10),
                                     std::chrono::seconds(50), newest_holder},
                                    {fault_kind::log_unreachable, *milliseconds_between(0, 100),
                                     *milliseconds_between(5'000, 20'000), previous_holder,
                                     time_origin::takeover}};
                     demand heavy_demand;
                     heavy_demand.at = *milliseconds_between(0, 8'000);
                     heavy_demand.length = *milliseconds_between(1'000, 8'000);
                     heavy_demand.tokens = std::max<std::uint64_t>(plan.burst / 20, 1);
                     heavy_demand.requests_per_second = 100;
                     heavy_demand.origin = time_origin::takeover;
                     heavy_demand.used_percent = 100;
                     plan.demands = {heavy_demand};
                     limits_simulation simulation(plan);
                     simulation.run();
                     runs_with_two_owners += simulation.max_concurrent_owners() > 1 ? 1U : 0U;
                     expect_within_limit(simulation, plan);
                 });
    // In these runs the takeover wait prevents that two agents consider themselves owner.
    EXPECT_EQ(runs_with_two_owners, 0U);
}

// Guards against an owner that is disconnected from the log and reads a list older than the stated
// bound. An agent that holds grants of this owner must drop them when it learns the newer fencing
// token, since the bucket of the new owner has been refilled meanwhile.
TEST(limits_invariant, fencing_holds_beyond_the_list_lag_bound)
{
    unsigned runs_with_two_owners = 0;
    check_seeded(
        0x13, 300,
        [&]
        {
            auto plan = generate_plan();
            plan.agents = *rc::gen::inRange<unsigned>(3, 6);
            plan.burst = plan.rate * *rc::gen::inRange<std::uint64_t>(6, 12);
            plan.length = std::chrono::seconds(90);
            // The new owner starts 6 s after its append, and its bucket is full after at most
            // another 12 s.
            auto const log_outage = *milliseconds_between(19'000, 22'000);
            plan.faults = {
                {fault_kind::list_stale, std::chrono::seconds(5), std::chrono::seconds(85),
                 newest_holder},
                {fault_kind::unlisted, std::chrono::seconds(10), std::chrono::seconds(80),
                 newest_holder},
                {fault_kind::log_unreachable,
                 {},
                 std::chrono::seconds(80),
                 previous_holder,
                 time_origin::takeover},
                {fault_kind::log_unreachable, {}, log_outage, other_agent, time_origin::takeover}};
            // Requests that use few tokens leave this agent with grants of the old owner.
            demand light_demand;
            light_demand.at = log_outage - std::chrono::milliseconds(1'500);
            light_demand.length = std::chrono::milliseconds(2'500);
            light_demand.tokens = std::max<std::uint64_t>(plan.burst / 10, 1);
            light_demand.requests_per_second = 5;
            light_demand.agent = other_agent;
            light_demand.origin = time_origin::takeover;
            light_demand.used_percent = 1;
            light_demand.max_run_time = std::chrono::milliseconds(50);
            demand heavy_demand;
            // The agent knows the new token after a log poll and two slow messages, once the log is
            // reachable.
            heavy_demand.at = log_outage + *milliseconds_between(1'400, 1'800);
            heavy_demand.length = std::chrono::seconds(3);
            heavy_demand.tokens = std::max<std::uint64_t>(plan.burst / 40, 1);
            heavy_demand.requests_per_second = 200;
            heavy_demand.origin = time_origin::takeover;
            heavy_demand.used_percent = 100;
            heavy_demand.agent = other_agent;
            plan.demands = {light_demand, heavy_demand};
            limits_simulation simulation(plan);
            simulation.run();
            runs_with_two_owners += simulation.max_concurrent_owners() > 1 ? 1U : 0U;
            expect_within_limit(simulation, plan);
        });
    EXPECT_GT(runs_with_two_owners, 200U);
}

// Guards against a bucket that refills while agents still hold grants: they could use these grants
// and a full bucket at the same time.
TEST(limits_invariant, holds_while_agents_hold_unused_grants)
{
    check_seeded(
        0x14, 150,
        [&]
        {
            auto plan = generate_plan();
            plan.burst = plan.rate * *rc::gen::inRange<std::uint64_t>(1, 3);
            plan.length = std::chrono::seconds(40);
            auto const demand_interval = *milliseconds_between(300, 2'500);
            // Low demand makes agents prefetch grants, then high demand uses them.
            base::duration at = std::chrono::seconds(2);
            while (at < std::chrono::seconds(36))
            {
                plan.demands.push_back({at, std::chrono::milliseconds(200), plan.rate / 4 + 1, 10});
                at += demand_interval;
                plan.demands.push_back({at, std::chrono::milliseconds(300), plan.rate / 8 + 1, 50});
                at += demand_interval + std::chrono::seconds(1);
            }
            limits_simulation simulation(plan);
            simulation.run();
            expect_within_limit(simulation, plan);
        });
}

/// The longest time without an admission under constant low demand.
base::duration longest_time_without_admission(fault_kind kind, std::uint32_t seed)
{
    simulation_plan plan;
    plan.seed = seed;
    plan.agents = 4;
    plan.length = std::chrono::seconds(120);
    plan.faults = {{kind, std::chrono::seconds(30), std::chrono::seconds(1), newest_holder}};
    plan.demands = {{std::chrono::seconds(5), std::chrono::seconds(115), 10, 10}};
    limits_simulation simulation(plan);
    simulation.run();
    auto const admitted_requests = simulation.admitted_requests();
    base::duration out = std::chrono::hours(1);
    for (std::size_t n = 1; n < admitted_requests.size(); ++n)
        out = std::max(n == 1 ? base::duration::zero() : out,
                       admitted_requests[n].at - admitted_requests[n - 1].at);
    return out;
}

// Guards against a workspace without an owner: a takeover takes the list's lag, the takeover
// absence, the takeover wait, and a few polls.
TEST(limits_invariant, crashed_owner_is_replaced_in_time)
{
    limits::limit_timing const timing;
    auto const polling_delay = std::chrono::seconds(4);
    auto const bound =
        timing.list_lag_bound + timing.takeover_absence() + timing.takeover_wait() + polling_delay;
    check_seeded(0x16, 50,
                 [&]
                 {
                     auto const seed = *rc::gen::arbitrary<std::uint32_t>();
                     RC_ASSERT(longest_time_without_admission(fault_kind::kill, seed) <= bound);
                 });
}

// Guards against a shutdown with a release that takes as long as a crash: the next owner starts as
// soon as the grants have expired.
TEST(limits_invariant, released_bucket_gets_a_new_owner_in_time)
{
    limits::limit_timing const timing;
    auto const polling_delay = std::chrono::seconds(4);
    auto const bound = timing.grant_lifetime + timing.clock_margin + polling_delay;
    check_seeded(0x17, 50,
                 [&]
                 {
                     auto const seed = *rc::gen::arbitrary<std::uint32_t>();
                     RC_ASSERT(longest_time_without_admission(fault_kind::leave, seed) <= bound);
                 });
}

// Guards against a checker that finds no violations.
TEST(limits_invariant, checker_finds_violation)
{
    using std::chrono::seconds;
    auto const at = [](int n)
    {
        return base::time_point(seconds(n));
    };
    EXPECT_FALSE(find_limit_violation({{at(0), 100}, {at(1), 10}, {at(2), 10}}, 10, 100));
    auto const violation = find_limit_violation({{at(0), 50}, {at(9), 60}, {at(10), 51}}, 10, 100);
    ASSERT_TRUE(violation);
    EXPECT_EQ(violation->from, at(9));
    EXPECT_EQ(violation->to, at(10));
}

} // namespace savorymount::tests
