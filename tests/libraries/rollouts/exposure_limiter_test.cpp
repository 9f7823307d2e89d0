#include <savorymount/rollouts/exposure_limiter.hpp>

#include <gtest/gtest.h>

#include <string>
#include <tests/libraries/seeded_property.hpp>
#include <vector>

namespace savorymount::rollouts
{
namespace
{

// Guards against a version that gets more than its share before it is judged, whatever the order in
// which requests of several routes arrive.
TEST(exposure_limiter, target_never_gets_more_than_share_and_credit)
{
    tests::check_property(
        300,
        [](std::vector<unsigned char> const& arrivals)
        {
            exposure_limiter limiter(0.08, 0.5);
            for (auto const it : arrivals)
            {
                std::string const route(1, static_cast<char>('a' + it % 4));
                limiter.record(route, limiter.permits(route));
                auto const bound = 0.08 * static_cast<double>(limiter.requests()) + 0.5;
                RC_ASSERT(static_cast<double>(limiter.target_requests()) <= bound);
            }
        });
}

// Guards against a route that gives no evidence, so that a version that is bad on it alone is
// completed.
TEST(exposure_limiter, each_route_gets_its_share)
{
    exposure_limiter limiter(0.1, 0);
    std::vector<int> by_route(4, 0);
    for (int n = 0; n < 4000; ++n)
    {
        std::string const route(1, static_cast<char>('a' + n % 4));
        bool const to_target = limiter.permits(route);
        by_route[static_cast<std::size_t>(n % 4)] += to_target ? 1 : 0;
        limiter.record(route, to_target);
    }
    for (auto const it : by_route)
        EXPECT_GE(it, 95);
}

// Guards against a bound that is broken by streams that go on at the version that began them.
TEST(exposure_limiter, requests_that_cannot_be_held_back_delay_the_next_ones)
{
    exposure_limiter limiter(0.1, 0);
    for (int n = 0; n < 5; ++n)
        limiter.record("a", true);
    int sent = 0;
    for (; !limiter.permits("a"); ++sent)
        limiter.record("a", false);
    EXPECT_EQ(sent, 54);
}

} // namespace
} // namespace savorymount::rollouts
