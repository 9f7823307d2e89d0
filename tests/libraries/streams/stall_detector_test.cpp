#include <savorymount/streams/stall_detector.hpp>

#include <gtest/gtest.h>

#include <tests/libraries/seeded_property.hpp>
#include <tests/libraries/time_points.hpp>
#include <vector>

namespace savorymount::streams
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

// Guards against a sound stream that is cut: each event arrives in two pieces, at any pace, and the
// stream may be silent between events for any time.
TEST(stall_detector, never_takes_completed_events_for_a_stall)
{
    tests::check_seeded(0x57a11, 200,
                        []
                        {
                            auto const event_ms = *rc::gen::inRange(1, 700);
                            auto const pauses = *rc::gen::container<std::vector<int>>(
                                50, rc::gen::inRange(0, 9000));
                            stall_detector detector(0s);
                            auto now = at(0s);
                            for (auto const pause : pauses)
                            {
                                now += std::chrono::milliseconds(pause);
                                RC_ASSERT(!detector.stalled(now));
                                detector.bytes_arrived(now);
                                now += std::chrono::milliseconds(event_ms);
                                RC_ASSERT(!detector.stalled(now));
                                detector.event_completed(now);
                            }
                        });
}

// Guards against a stalled stream that a byte now and then keeps alive.
TEST(stall_detector, notices_bytes_that_complete_no_event)
{
    stall_detector detector(300ms);
    detector.bytes_arrived(at(1s));
    detector.bytes_arrived(at(2s));
    EXPECT_FALSE(detector.stalled(at(2500ms)));
    EXPECT_TRUE(detector.stalled(at(2501ms)));
}

// Guards against the pace of a fast upstream that is asked of a slow one.
TEST(stall_detector, is_patient_in_proportion_to_the_events_so_far)
{
    stall_detector detector(0s);
    detector.bytes_arrived(at(0s));
    detector.event_completed(at(3s));
    detector.bytes_arrived(at(3s));
    EXPECT_FALSE(detector.stalled(at(15s)));
    EXPECT_TRUE(detector.stalled(at(15001ms)));
}

} // namespace
} // namespace savorymount::streams
