#include <savorymount/queueing/room_estimate.hpp>

#include <gtest/gtest.h>

#include <vector>

namespace savorymount::queueing
{
namespace
{

engine_places engine(double requests, double own = 0)
{
    engine_places out;
    out.slots = 10;
    out.requests = requests;
    out.own_requests = own;
    return out;
}

// Guards against requests that wait while engines have room.
TEST(room_estimate, finds_room_as_long_as_an_engine_has_a_free_slot)
{
    auto const room = estimate_room({engine(10), engine(9)}, 4);
    EXPECT_TRUE(may_begin(room, false, 0));
    EXPECT_TRUE(may_begin(room, true, 0));
}

// Guards against requests that bounce off full engines, and against urgent ones that wait although
// an engine would begin them before those that wait there.
TEST(room_estimate, leaves_the_queue_of_full_engines_to_the_most_urgent)
{
    auto const room = estimate_room({engine(10), engine(10)}, 1);
    EXPECT_FALSE(may_begin(room, false, 0));
    EXPECT_TRUE(may_begin(room, true, 0));
    EXPECT_FALSE(may_begin(estimate_room({engine(11), engine(11)}, 1), true, 0));
}

// Guards against engines whose memory binds before their slots do.
TEST(room_estimate, believes_an_engine_at_which_requests_wait)
{
    auto it = engine(4);
    it.requests_wait = true;
    EXPECT_FALSE(may_begin(estimate_room({it}, 1), false, 0));
    EXPECT_TRUE(may_begin(estimate_room({it, engine(4)}, 1), false, 0));
}

// Guards against an engine that claims room and rejects, or that drains.
TEST(room_estimate, counts_no_room_at_an_engine_that_takes_no_request)
{
    auto it = engine(0);
    it.closed = true;
    EXPECT_FALSE(may_begin(estimate_room({it}, 1), true, 0));
    EXPECT_FALSE(may_begin(estimate_room({}, 1), true, 0));
}

// Guards against less urgent requests that take the room which urgent ones need in a moment.
TEST(room_estimate, keeps_reserved_places_for_more_urgent_requests)
{
    auto const room = estimate_room({engine(8, 8)}, 1);
    EXPECT_TRUE(may_begin(room, false, 2));
    EXPECT_FALSE(may_begin(room, false, 2.5));
    EXPECT_TRUE(may_begin(room, true, 2.5));
}

// Guards against an instance that hears no other one and uses the room of all.
TEST(room_estimate, takes_an_even_part_when_cut_off)
{
    auto const room = estimate_room({engine(2, 2), engine(2, 2)}, 4);
    EXPECT_DOUBLE_EQ(room.own_part, 4);
    auto const shared = estimate_room({engine(4, 2), engine(4, 2)}, 4);
    EXPECT_DOUBLE_EQ(shared.own_part, 6);
}

} // namespace
} // namespace savorymount::queueing
