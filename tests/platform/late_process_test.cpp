#include <gtest/gtest.h>

#include <tests/libraries/runtime/scripted_server.hpp>
#include <tests/platform/request_harness.hpp>
#include <thread>

namespace savorymount::tests
{
namespace
{

using namespace std::chrono_literals;

// Guards against a caller that gets no answer as long as the process is late again and again.
TEST(late_process, answers_a_request_whose_time_limit_has_passed)
{
    constexpr int max_pauses = 6;
    request_harness system({}, {}, 500ms);
    scripted_server upstream(system.loop, {}, scripted_server::afterwards::keep);
    system.add_upstream("desk-1", "desk", upstream.address());
    auto const caller = system.send("/unsafe/ask", "r");
    int pauses = 0;
    // Longer than the time after which the process counts as suspended.
    auto const busy = system.timers.every(10ms,
                                          [&]
                                          {
                                              std::this_thread::sleep_for(1200ms);
                                              ++pauses;
                                          });
    system.run_until([&] { return !system.outcomes.empty() || pauses >= max_pauses; });
    ASSERT_EQ(system.outcomes.size(), 1U);
    EXPECT_EQ(system.outcomes[0].status, 504) << system.outcomes[0].reason;
}

} // namespace
} // namespace savorymount::tests
