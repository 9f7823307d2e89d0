#include <savorymount/retries/retry_allowance.hpp>

#include <gtest/gtest.h>

#include <tests/libraries/time_points.hpp>

namespace savorymount::retries
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

// Guards against instances that together repeat more often than the bounds of the service allow.
TEST(retry_allowance, keeps_the_sum_of_all_instances_within_the_bounds)
{
    retry_bounds const bounds{0.2, 40, 10s};
    constexpr std::size_t instances = 4;
    double repeats = 0;
    for (std::size_t i = 0; i < instances; ++i)
    {
        retry_allowance allowance(bounds);
        allowance.set_instances(instances);
        for (int n = 0; n < 25; ++n)
            allowance.requested(at(0s));
        while (allowance.try_spend(at(1s)))
            ++repeats;
    }
    EXPECT_LE(repeats, 0.2 * 100 + 40);
    EXPECT_GE(repeats, 0.5 * (0.2 * 100 + 40));
}

// Guards against a budget that never comes back, and against one that comes back too soon.
TEST(retry_allowance, gives_repeats_back_after_the_window)
{
    retry_allowance allowance({0, 10, 10s});
    while (allowance.try_spend(at(0s)))
        continue;
    EXPECT_FALSE(allowance.try_spend(at(9s)));
    EXPECT_TRUE(allowance.try_spend(at(11s)));
}

} // namespace
} // namespace savorymount::retries
