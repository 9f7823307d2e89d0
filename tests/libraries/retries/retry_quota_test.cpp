#include <savorymount/retries/retry_quota.hpp>

#include <gtest/gtest.h>

#include <tests/libraries/time_points.hpp>

namespace savorymount::retries
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

// Guards against instances that together exceed the retry limit of the service.
TEST(retry_quota, keeps_all_instances_together_within_the_limit)
{
    retry_quota_options const options{0.2, 40, 10s};
    constexpr std::size_t instance_count = 4;
    double retries = 0;
    for (std::size_t i = 0; i < instance_count; ++i)
    {
        retry_quota quota(options);
        quota.set_instance_count(instance_count);
        for (int n = 0; n < 25; ++n)
            quota.record_request(at(0s));
        while (quota.try_spend(at(1s)))
            ++retries;
    }
    EXPECT_LE(retries, 0.2 * 100 + 40);
    EXPECT_GE(retries, 0.5 * (0.2 * 100 + 40));
}

// Guards against spent retries that never become available again, or do so too early.
TEST(retry_quota, retries_are_available_again_after_the_window)
{
    retry_quota quota({0, 10, 10s});
    while (quota.try_spend(at(0s)))
        continue;
    EXPECT_FALSE(quota.try_spend(at(9s)));
    EXPECT_TRUE(quota.try_spend(at(11s)));
}

} // namespace
} // namespace savorymount::retries
