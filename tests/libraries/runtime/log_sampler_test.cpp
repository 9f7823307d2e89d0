#include <savorymount/runtime/log_sampler.hpp>

#include <gtest/gtest.h>

#include <string>
#include <tests/libraries/time_points.hpp>

namespace savorymount::runtime
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

/// Offers `requests` in one second and returns how many are kept.
int offer(log_sampler& sampler, base::duration from, int requests)
{
    int kept = 0;
    for (int i = 0; i < requests; ++i)
        kept += sampler.keep(at(from + 1s * i / requests), "request-" + std::to_string(i)) ? 1 : 0;
    return kept;
}

// Guards against requests that leave no trace although the log has room.
TEST(log_sampler, keeps_every_request_of_a_light_load)
{
    log_sampler sampler(50);
    for (int second = 0; second < 3; ++second)
        EXPECT_EQ(offer(sampler, second * 1s, 50), 50);
    log_sampler unbounded(0);
    EXPECT_EQ(offer(unbounded, 0s, 1000), 1000);
}

// Guards against a log that overflows under load, after the first second.
TEST(log_sampler, keeps_about_as_many_requests_as_the_log_holds)
{
    log_sampler sampler(50);
    offer(sampler, 0s, 1000);
    int const kept = offer(sampler, 1s, 1000);
    EXPECT_GT(kept, 25);
    EXPECT_LT(kept, 65);
    offer(sampler, 2s, 10);
    EXPECT_EQ(offer(sampler, 3s, 10), 10);
}

// Guards against a request that one process writes about and another does not.
TEST(log_sampler, chooses_the_same_requests_on_every_process)
{
    log_sampler one(50);
    log_sampler other(50);
    offer(one, 0s, 1000);
    offer(other, 0s, 1100);
    for (int i = 0; i < 1000; ++i)
    {
        auto const request = "request-" + std::to_string(i);
        EXPECT_EQ(one.keep(at(1s), request), other.keep(at(1100ms), request)) << request;
    }
}

} // namespace
} // namespace savorymount::runtime
