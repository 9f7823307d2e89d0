#include <savorymount/routing/engine_estimate.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <tests/libraries/seeded_property.hpp>
#include <tests/libraries/time_points.hpp>
#include <utility>
#include <vector>

namespace savorymount::routing
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

// Guards against an engine that looks slow for as long as it reads a prompt.
TEST(engine_estimate, a_third_of_long_pauses_leaves_the_usual_gap)
{
    engine_estimate out;
    for (int i = 0; i < 300; ++i)
        out.record_event_gap(at(i * 50ms), i % 3 == 0 ? 300ms : 40ms);
    ASSERT_TRUE(out.usual_event_gap());
    EXPECT_GT(*out.usual_event_gap(), 25ms);
    EXPECT_LT(*out.usual_event_gap(), 60ms);
}

// Guards against a slow moment that is taken for the engine's usual speed.
TEST(engine_estimate, removes_the_pace_of_the_moment_from_a_gap)
{
    engine_estimate out;
    for (int i = 0; i < 100; ++i)
    {
        bool const slow = i % 2 == 0;
        out.record_pace(at(i * 100ms), slow ? 250 : 100);
        out.record_event_gap(at(i * 100ms), slow ? 100ms : 40ms);
    }
    EXPECT_GT(*out.usual_event_gap(), 34ms);
    EXPECT_LT(*out.usual_event_gap(), 46ms);
}

// Guards against a judgement by a single pause.
TEST(engine_estimate, has_no_usual_gap_before_some_pauses)
{
    engine_estimate out;
    for (int i = 0; i < 7; ++i)
    {
        out.record_event_gap(at(i * 1s), 40ms);
        EXPECT_FALSE(out.usual_event_gap());
    }
    out.record_event_gap(at(7s), 40ms);
    EXPECT_TRUE(out.usual_event_gap());
}

// Guards against a decision by the pace of a moment that has passed.
TEST(engine_estimate, a_pace_counts_only_while_it_is_fresh)
{
    engine_estimate out;
    EXPECT_FALSE(out.tells_pace());
    for (int i = 0; i < 50; ++i)
        out.record_pace(at(i * 1s), 100);
    out.record_pace(at(60s), 250);
    EXPECT_TRUE(out.tells_pace());
    EXPECT_DOUBLE_EQ(out.pace(at(60s)), 2.5);
    EXPECT_LT(out.pace(at(61s)), 1.3);
}

// Guards against estimates outside of what was seen, whatever an engine tells of its pace.
TEST(engine_estimate, stays_within_bounds_for_any_history)
{
    tests::check_property(
        200,
        []
        {
            auto const history =
                *rc::gen::arbitrary<std::vector<std::pair<std::uint32_t, std::int64_t>>>();
            engine_estimate out;
            base::duration now = 1s;
            for (auto const& [percent, gap_us] : history)
            {
                now += 10ms;
                out.record_pace(at(now), percent);
                out.record_event_gap(at(now), base::duration(gap_us));
                RC_ASSERT(out.pace(at(now)) >= 0.1 && out.pace(at(now)) <= 20);
                if (auto const gap = out.usual_event_gap())
                    RC_ASSERT(*gap >= base::duration::zero() && *gap <= 60s);
            }
        });
}

} // namespace
} // namespace savorymount::routing
