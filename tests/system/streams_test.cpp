#include <gtest/gtest.h>

#include <csignal>
#include <tests/system/support/deployment.hpp>

namespace savorymount::tests
{
namespace
{

using nlohmann::json;

/// Whether the answer has the tokens 0 to `count` - 1 once each and in order, and the end mark.
testing::AssertionResult has_all_tokens(caller_answer const& answer, unsigned count)
{
    if (answer.status != 200 || !answer.whole || !answer.body.ends_with("data: [DONE]\n\n"))
        return testing::AssertionFailure() << answer.status << " " << answer.body;
    std::size_t at = 0;
    for (unsigned i = 0; i < count; ++i)
    {
        at = answer.body.find("\"t" + std::to_string(i) + "-", at);
        if (at == std::string::npos)
            return testing::AssertionFailure() << "token " << i << " is missing or out of order";
    }
    std::size_t tokens = 0;
    for (at = 0; (at = answer.body.find("\"content\":\"t", at)) != std::string::npos; ++at)
        ++tokens;
    if (tokens != count)
        return testing::AssertionFailure() << tokens << " tokens instead of " << count;
    return testing::AssertionSuccess();
}

/// The engine that works on a request now.
upstream_pair* busy_engine(deployment& system)
{
    for (auto& it : system.engines)
    {
        if (it.agent.running() && system.status(it.status_address)["running"] > 0)
            return &it;
    }
    return nullptr;
}

upstream_pair& wait_for_busy_engine(deployment& system)
{
    upstream_pair* found = nullptr;
    while (found == nullptr)
        found = busy_engine(system);
    return *found;
}

void wait_for_bytes(deployment& system, std::shared_ptr<caller_answer> const& answer)
{
    system.client().run_until([&answer] { return answer->body.size() > 200; });
}

// Guards against an answer that is cut short or repeated when its engine crashes in mid-stream.
TEST(streams, resume_on_another_engine_after_a_crash)
{
    deployment system(
        {.engines = 3, .services = 0, .entries = 1, .engine_arguments = {"--token-ms", "20"}});
    auto const answer = system.prompt(0, "large", {"rules", "client"}, true, 100);
    wait_for_bytes(system, answer);
    wait_for_busy_engine(system).upstream.send_signal(SIGKILL);
    system.client().wait({answer});
    EXPECT_TRUE(has_all_tokens(*answer, 100));
}

// Guards against a stream that hangs or breaks when the agent in its path is frozen for good.
TEST(streams, resume_on_another_engine_when_an_agent_freezes)
{
    deployment system(
        {.engines = 3, .services = 0, .entries = 1, .engine_arguments = {"--token-ms", "20"}});
    auto const answer = system.prompt(0, "large", {"rules", "client"}, true, 100);
    wait_for_bytes(system, answer);
    wait_for_busy_engine(system).agent.send_signal(SIGSTOP);
    system.client().wait({answer});
    EXPECT_TRUE(has_all_tokens(*answer, 100));
}

// Guards against bytes of one answer in another one, and against lost bytes under concurrency.
TEST(streams, two_hundred_parallel_streams_arrive_whole)
{
    deployment system({.engines = 4, .services = 0, .entries = 3});
    std::vector<std::shared_ptr<caller_answer>> answers;
    for (unsigned i = 0; i < 200; ++i)
        answers.push_back(system.prompt(i % 3, i % 2 == 0 ? "large" : "small",
                                        {"rules", "client " + std::to_string(i)}, true, 20));
    system.client().wait(answers);
    for (auto const& it : answers)
        EXPECT_TRUE(has_all_tokens(*it, 20));
}

// Guards against a stream that hangs when its connection goes silent for good while new ones work:
// the entry must notice the missing heartbeats and go on over a new connection to the same agent.
TEST(streams, go_on_over_a_new_connection_when_the_old_one_goes_silent)
{
    deployment system({.engines = 1,
                       .services = 0,
                       .entries = 1,
                       .relayed = true,
                       .engine_arguments = {"--token-ms", "20"}});
    auto const answer = system.prompt(0, "large", {"rules", "client"}, true, 400);
    wait_for_bytes(system, answer);
    system.control(system.engines[0].relay_control, {{"mode", "blackhole_existing"}});
    system.client().wait({answer});
    EXPECT_TRUE(has_all_tokens(*answer, 400));
}

// Guards against a graceful shutdown that cuts a running stream or takes new work.
TEST(streams, shutdown_of_entry_and_agent_cuts_nothing)
{
    deployment system(
        {.engines = 2, .services = 0, .entries = 2, .engine_arguments = {"--token-ms", "20"}});
    auto const answer = system.prompt(0, "large", {"rules", "client"}, true, 100);
    wait_for_bytes(system, answer);
    auto& leaving = wait_for_busy_engine(system);
    leaving.agent.send_signal(SIGTERM);
    system.entries[0].program.send_signal(SIGTERM);
    system.client().wait({answer});
    EXPECT_TRUE(has_all_tokens(*answer, 100));
    EXPECT_EQ(leaving.agent.wait(), 0);
    EXPECT_EQ(system.entries[0].program.wait(), 0);
    auto const later = system.prompt(1, "large", {"rules", "client"}, true, 5);
    system.client().wait({later});
    EXPECT_TRUE(has_all_tokens(*later, 5));
}

// Guards against a request that ends one engine after the other: after two crashes it is refused,
// also for a caller that sends it again, and other requests of the workspace go on.
TEST(streams, request_that_crashes_engines_is_refused_after_two)
{
    deployment system({.engines = 4, .services = 0, .entries = 1});
    for (auto const& it : system.engines)
        system.control(it.upstream_address, {{"crash_on_text", "poison"}});
    for (unsigned i = 0; i < 3; ++i)
    {
        auto const answer = system.prompt(0, "large", {"rules", "poison"}, false, 5);
        system.client().wait({answer});
        EXPECT_EQ(answer->status, 502) << answer->body;
        EXPECT_EQ(answer->json()["error"]["type"], "crashed");
    }
    unsigned alive = 0;
    for (auto& it : system.engines)
        alive += it.upstream.running() ? 1 : 0;
    EXPECT_EQ(alive, 2U);
    auto const other = system.prompt(0, "large", {"rules", "harmless"}, true, 5);
    system.client().wait({other});
    EXPECT_TRUE(has_all_tokens(*other, 5));
}

// Guards against callers that leave in mid-stream and keep slots or block a shutdown.
TEST(streams, callers_that_leave_hold_nothing)
{
    deployment system(
        {.engines = 1, .services = 0, .entries = 1, .engine_arguments = {"--token-ms", "20"}});
    for (unsigned i = 0; i < 20; ++i)
    {
        auto const answer =
            system.prompt(0, "large", {"rules", "client " + std::to_string(i)}, true, 1000);
        wait_for_bytes(system, answer);
        system.client().cancel(answer);
    }
    auto& engine = system.engines[0];
    while (system.status(engine.status_address)["running"] != 0)
        continue;
    engine.agent.send_signal(SIGTERM);
    EXPECT_EQ(engine.agent.wait(), 0);
}

} // namespace
} // namespace savorymount::tests
