#include <gtest/gtest.h>

#include <csignal>
#include <stdexcept>
#include <tests/system/support/deployment.hpp>
#include <tests/system/support/history.hpp>
#include <thread>

namespace savorymount::tests
{
namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t booking_tokens = 10;

void send_bookings(deployment& system, history& calls, unsigned count)
{
    for (unsigned i = 0; i < count; ++i)
    {
        std::string const workspace = i % 2 == 0 ? "large" : "small";
        calls.add(workspace, system.book(i % system.entries.size(), workspace), booking_tokens);
    }
}

void wait_for_all(deployment& system, history& calls)
{
    system.client().run_until(
        [&calls]
        {
            calls.note_ends();
            for (auto const& it : calls.calls())
            {
                if (!it.answer->done)
                    return false;
            }
            return true;
        });
}

/// The agent of a plain service with this number among those that own no bucket.
upstream_pair& agent_without_buckets(deployment& system, unsigned number)
{
    for (auto& it : system.services)
    {
        if (system.status(it.status_address)["buckets_owned"] == 0 && number-- == 0)
            return it;
    }
    throw std::runtime_error("too few agents without buckets");
}

unsigned successes(history const& calls)
{
    unsigned out = 0;
    for (auto const& it : calls.calls())
        out += it.answer->status / 100 == 2 ? 1 : 0;
    return out;
}

void expect_kept(std::vector<std::string> const& violations)
{
    for (auto const& it : violations)
        ADD_FAILURE() << it;
}

// Guards against a booking that runs twice or whose caller is told something untrue, when agents
// are killed or frozen and services answer late or drop connections before or after the booking.
TEST(bookings, run_at_most_once_under_faults)
{
    deployment system({.engines = 0, .services = 4, .entries = 3});
    history calls;
    for (auto const& it : system.services)
        system.control(it.upstream_address, {{"delay_ms", 30}});
    send_bookings(system, calls, 60);
    wait_for_all(system, calls);
    system.control(system.services[0].upstream_address, {{"drop", "after"}});
    system.control(system.services[1].upstream_address, {{"drop", "before"}});
    send_bookings(system, calls, 60);
    // Without its bucket's owner a workspace is refused, so the faults hit two other agents.
    auto& killed = agent_without_buckets(system, 0);
    auto& frozen = agent_without_buckets(system, 1);
    killed.agent.send_signal(SIGKILL);
    send_bookings(system, calls, 30);
    frozen.agent.send_signal(SIGSTOP);
    send_bookings(system, calls, 30);
    std::this_thread::sleep_for(5s);
    frozen.agent.send_signal(SIGCONT);
    system.replace_agent(killed);
    send_bookings(system, calls, 30);
    wait_for_all(system, calls);
    expect_kept(calls.check_executions(system.executions()));
    EXPECT_GT(successes(calls), 60U);
}

// Guards against an outcome that stays unknown, or a second run, when the connection to the agent
// goes silent during a booking: the entry must learn the outcome over a new connection.
TEST(bookings, outcome_is_learned_over_a_new_connection)
{
    deployment system({.engines = 0, .services = 1, .entries = 1, .relayed = true});
    system.control(system.services[0].upstream_address, {{"delay_ms", 2000}});
    history calls;
    send_bookings(system, calls, 4);
    while (system.status(system.services[0].status_address)["running"] != 4)
        std::this_thread::sleep_for(10ms);
    system.control(system.services[0].relay_control, {{"mode", "blackhole_existing"}});
    wait_for_all(system, calls);
    expect_kept(calls.check_executions(system.executions()));
    EXPECT_EQ(successes(calls), 4U);
}

// Guards against two runs for one idempotency key when its calls reach different entries at once.
TEST(bookings, one_idempotency_key_runs_once_across_entries)
{
    deployment system({.engines = 0, .services = 3, .entries = 3});
    auto const before = system.executions();
    history calls;
    for (unsigned key = 0; key < 10; ++key)
    {
        for (std::size_t entry = 0; entry < 3; ++entry)
        {
            auto const name = "key-" + std::to_string(key);
            calls.add("large", system.book(entry, "large", name), booking_tokens, name);
        }
    }
    wait_for_all(system, calls);
    expect_kept(calls.check_executions(system.executions()));
    EXPECT_EQ(system.executions().size() - before.size(), 10U);
    for (auto const& it : calls.calls())
        EXPECT_EQ(it.answer->status / 100, 2) << it.answer->body;
}

// Guards against a second run of a key while the log, which decides about keys, is out: the calls
// are refused as not run, and calls without a key go on.
TEST(bookings, unknown_idempotency_keys_are_refused_while_the_log_is_out)
{
    deployment system({.engines = 0, .services = 2, .entries = 2});
    system.control(system.platform_address, {{"log", "down"}});
    for (auto const& it : system.services)
    {
        while (system.status(it.status_address)["degraded"].empty())
            std::this_thread::sleep_for(20ms);
    }
    history calls;
    for (std::size_t i = 0; i < 4; ++i)
        calls.add("large", system.book(i % 2, "large", "new-key"), booking_tokens, "new-key");
    auto const plain = system.book(0, "large");
    calls.add("large", plain, booking_tokens);
    wait_for_all(system, calls);
    expect_kept(calls.check_executions(system.executions()));
    EXPECT_EQ(plain->status / 100, 2) << plain->body;
    for (std::size_t i = 0; i < 4; ++i)
    {
        EXPECT_EQ(calls.calls()[i].answer->status, 503);
        EXPECT_EQ(calls.calls()[i].answer->header("x-savorymount-execution"), "not_run");
    }
}

// Guards against a workspace that gets more than its rate and burst over all instances together,
// also when the owner of its token bucket is killed and another agent takes over.
TEST(bookings, rate_and_burst_hold_over_all_instances)
{
    constexpr unsigned rate = 50;
    constexpr unsigned burst = 300;
    deployment system({.engines = 0, .services = 3, .entries = 3});
    auto contract = system.contract("small");
    contract["rate_tokens_per_second"] = rate;
    contract["burst_tokens"] = burst;
    system.wait_for_version(system.publish({{"workspaces/small", contract}}));
    history calls;
    auto const send_rounds = [&system, &calls](unsigned rounds)
    {
        for (unsigned round = 0; round < rounds; ++round)
        {
            for (std::size_t i = 0; i < 6; ++i)
                calls.add("small", system.book(i % 3, "small"), booking_tokens);
            wait_for_all(system, calls);
            std::this_thread::sleep_for(100ms);
        }
    };
    send_rounds(20);
    for (auto& it : system.services)
    {
        if (system.status(it.status_address)["buckets_owned"] == 0)
            continue;
        it.agent.send_signal(SIGKILL);
        system.replace_agent(it);
        break;
    }
    auto const before = successes(calls);
    while (successes(calls) == before)
        send_rounds(1);
    send_rounds(20);
    expect_kept(calls.check_rate("small", rate, burst));
    expect_kept(calls.check_executions(system.executions()));
}

} // namespace
} // namespace savorymount::tests
