#include <gtest/gtest.h>

#include <algorithm>
#include <tests/platform/request_harness.hpp>
#include <tests/stand_ins/users_platform/fake_upstream.hpp>

namespace savorymount::tests
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t requests = 40;
constexpr base::duration request_interval = 20ms;
constexpr double limit = 1;
// What the limit allows in any 4 s: one and a half times that rate, and five requests.
constexpr double tolerated_rate = 1.5 * limit;
constexpr double tolerated_requests = 5;

std::size_t runs_of(stand_ins::fake_upstream const& it)
{
    return it.executions().size();
}

/// Sends one request after the other and waits for their ends.
void send_requests(request_harness& system, std::string const& target)
{
    std::vector<std::unique_ptr<raw_client>> callers;
    for (std::size_t i = 0; i < requests; ++i)
    {
        callers.push_back(system.send(target, "request-" + std::to_string(i)));
        bool paused = true;
        auto const timer = system.timers.after(request_interval, [&paused] { paused = false; });
        system.run_until([&paused] { return !paused; });
    }
    system.run_until_ended(requests);
}

// Guards against sending an upstream that named a limit its usual share of the requests.
TEST(named_limit, an_upstream_gets_no_more_requests_than_it_named)
{
    request_harness system;
    stand_ins::fake_upstream in_need(system.loop, "desk-1", false);
    stand_ins::fake_upstream sound(system.loop, "desk-2", false);
    in_need.name_limit("1");
    system.add_upstream("desk-1", "desk", {"127.0.0.1", in_need.port()});
    system.add_upstream("desk-2", "desk", {"127.0.0.1", sound.port()});
    auto const started_at = system.timers.now();
    send_requests(system, "/safe/ask");
    auto const seconds = std::chrono::duration<double>(system.timers.now() - started_at).count();
    EXPECT_LE(static_cast<double>(runs_of(in_need)), tolerated_requests + tolerated_rate * seconds);
    for (auto const& it : system.outcomes)
        EXPECT_EQ(it.status, 200) << it.reason;
}

// Guards against requests that wait or are lost when every upstream of a service has named a limit.
TEST(named_limit, a_request_beyond_all_limits_is_refused_at_once_and_told_when_to_return)
{
    request_harness system;
    stand_ins::fake_upstream in_need(system.loop, "desk-1", false);
    in_need.name_limit("0.5");
    system.add_upstream("desk-1", "desk", {"127.0.0.1", in_need.port()});
    auto const first = system.send("/unsafe/ask", "first");
    system.run_until_ended(1);
    auto const second = system.send("/unsafe/ask", "second");
    system.run_until_ended(2);
    EXPECT_EQ(system.outcomes[0].status, 200);
    EXPECT_EQ(system.outcomes[1].status, 503);
    EXPECT_EQ(system.outcomes[1].end, gateway::request_end::refused);
    EXPECT_EQ(runs_of(in_need), 1U);
    system.run_until([&] { return second->received.find("Retry-After: ") != std::string::npos; });
}

// Guards against holding an upstream back after it has stopped to name a limit.
TEST(named_limit, an_upstream_that_names_no_limit_any_more_gets_requests_again)
{
    request_harness system;
    system.cluster.members_read();
    system.cluster.tick(system.timers.now());
    stand_ins::fake_upstream recovered(system.loop, "desk-1", false);
    recovered.name_limit("20");
    system.add_upstream("desk-1", "desk", {"127.0.0.1", recovered.port()});
    auto const first = system.send("/safe/ask", "first");
    system.run_until_ended(1);
    recovered.name_limit("");
    std::vector<std::unique_ptr<raw_client>> callers;
    auto const served = [&]
    {
        return std::count_if(system.outcomes.begin(), system.outcomes.end(),
                             [](auto const& it) { return it.status == 200; });
    };
    // The next request that the limit allows shows its end; then nothing is refused any more.
    for (std::size_t n = 1; served() < 2; ++n)
    {
        callers.push_back(system.send("/safe/ask", "asks-" + std::to_string(n)));
        system.run_until_ended(n + 1);
    }
    for (int i = 0; i < 5; ++i)
    {
        callers.push_back(system.send("/safe/ask", "after-" + std::to_string(i)));
        system.run_until_ended(system.outcomes.size() + 1);
        EXPECT_EQ(system.outcomes.back().status, 200);
    }
}

} // namespace
} // namespace savorymount::tests
