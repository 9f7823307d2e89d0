#include <savorymount/queueing/demand_meter.hpp>

#include <gtest/gtest.h>

#include <tests/libraries/time_points.hpp>

namespace savorymount::queueing
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

/// Urgent requests at ten a second for four seconds, each of which held its engine for `held`.
demand_meter after_urgent_load(base::duration held)
{
    demand_meter out;
    for (int n = 0; n < 40; ++n)
    {
        out.arrived(at(n * 100ms), 0);
        out.began(0);
        out.ended(0, held);
    }
    return out;
}

// Guards against less urgent work that fills the engines between two urgent requests.
TEST(demand_meter, reserves_what_recent_urgent_demand_justifies)
{
    auto const meter = after_urgent_load(500ms);
    auto const reserve = meter.reserve_for(at(4s), 1);
    // About five requests at once, and the square root of that.
    EXPECT_GE(reserve, 5);
    EXPECT_LE(reserve, 9);
    EXPECT_EQ(meter.reserve_for(at(4s), 0), 0);
}

// Guards against room that stays empty when the urgent demand is over.
TEST(demand_meter, gives_up_its_reserve_when_the_demand_ends)
{
    EXPECT_LT(after_urgent_load(500ms).reserve_for(at(24s), 1), 0.1);
}

// Guards against places that are kept for requests which have theirs already.
TEST(demand_meter, reserves_nothing_for_requests_that_run)
{
    auto meter = after_urgent_load(500ms);
    for (int n = 0; n < 20; ++n)
        meter.began(0);
    EXPECT_EQ(meter.reserve_for(at(4s), 1), 0);
    EXPECT_EQ(meter.running(), 20U);
}

} // namespace
} // namespace savorymount::queueing
