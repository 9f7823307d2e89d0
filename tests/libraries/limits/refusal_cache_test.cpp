#include "../seeded_property.hpp"
#include <savorymount/limits/refusal_cache.hpp>

#include <map>
#include <string>
#include <tests/libraries/time_points.hpp>

namespace savorymount::limits
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::at;

// Guards against overload that reaches the agents with every request.
TEST(refusal_cache, refuses_after_threshold_until_retry_after)
{
    refusal_cache cache;
    for (int n = 0; n < 3; ++n)
    {
        EXPECT_FALSE(cache.check(at(milliseconds(n)), "w"));
        cache.record_refusal(at(milliseconds(n)), "w", milliseconds(500));
    }
    EXPECT_EQ(cache.check(at(milliseconds(102)), "w"), milliseconds(400));
    EXPECT_FALSE(cache.check(at(milliseconds(102)), "other"));
    EXPECT_FALSE(cache.check(at(milliseconds(502)), "w"));
}

// Guards against refusals after the workspace is within its rate again.
TEST(refusal_cache, admission_clears_refusals)
{
    refusal_cache cache;
    for (int n = 0; n < 5; ++n)
        cache.record_refusal(at({}), "w", seconds(2));
    EXPECT_TRUE(cache.check(at({}), "w"));
    cache.record_admission("w");
    EXPECT_FALSE(cache.check(at({}), "w"));
    cache.record_refusal(at({}), "w", seconds(2));
    EXPECT_FALSE(cache.check(at({}), "w"));
}

// Guards against a refusal long ago that still counts towards the threshold.
TEST(refusal_cache, expired_refusals_do_not_count)
{
    refusal_cache cache;
    for (int n = 0; n < 10; ++n)
        cache.record_refusal(at(seconds(3 * n)), "w", milliseconds(100));
    EXPECT_FALSE(cache.check(at(seconds(27)), "w"));
}

// Guards against a refusal that lasts longer than the newest Retry-After.
TEST(refusal_cache, never_refuses_beyond_newest_retry_after)
{
    tests::check_seeded(0x32, 1000,
                        []
                        {
                            refusal_cache cache(*rc::gen::inRange(1U, 5U), 8);
                            std::map<std::string, base::time_point> refused_until;
                            auto now = at({});
                            auto const steps = *rc::gen::inRange(1, 100);
                            for (int n = 0; n < steps; ++n)
                            {
                                now += milliseconds(*rc::gen::inRange(0, 400));
                                auto const workspace = std::string(1, *rc::gen::inRange('a', 'm'));
                                if (*rc::gen::inRange(0, 3) == 0)
                                {
                                    auto const retry_after =
                                        milliseconds(*rc::gen::inRange(0, 3000));
                                    cache.record_refusal(now, workspace, retry_after);
                                    refused_until[workspace] = now + retry_after;
                                }
                                auto const refusal = cache.check(now, workspace);
                                RC_ASSERT((!refusal || now + *refusal <= refused_until[workspace]));
                                RC_ASSERT(cache.size() <= 8U);
                            }
                        });
}

} // namespace
} // namespace savorymount::limits
