#include <savorymount/orders/wanted_weights.hpp>

#include <gtest/gtest.h>

#include <tests/libraries/time_points.hpp>

namespace savorymount::orders
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

// Guards against an engine that is two versions behind being dated by the newest version: a hunted
// day began requests on version 1 more than eight seconds after version 2, since version 3 had
// been named in between.
TEST(wanted_weights, dates_a_version_by_the_one_that_followed_it)
{
    wanted_weights wanted;
    wanted.named(at(0s), "crew", 1);
    wanted.named(at(2s), "crew", 2);
    wanted.named(at(6s), "crew", 3);
    EXPECT_EQ(wanted.newest("crew"), 3U);
    EXPECT_EQ(wanted.superseded_since("crew", 1), at(2s));
    EXPECT_EQ(wanted.superseded_since("crew", 2), at(6s));
    EXPECT_EQ(wanted.superseded_since("crew", 3), std::nullopt);
}

// Guards against a restarted instance that takes a version named long ago for a new one.
TEST(wanted_weights, dates_versions_that_were_never_heard_of_earlier_than_the_known_one)
{
    wanted_weights wanted;
    wanted.named(at(10s), "crew", 4, 3s);
    EXPECT_EQ(wanted.superseded_since("crew", 3), at(7s));
    EXPECT_EQ(wanted.superseded_since("crew", 2), at(4s));
    EXPECT_EQ(wanted.superseded_since("crew", 1), at(1s));
}

// Guards against a version that is read again being dated anew.
TEST(wanted_weights, keeps_the_first_time)
{
    wanted_weights wanted;
    wanted.named(at(1s), "crew", 2);
    wanted.named(at(9s), "crew", 2);
    EXPECT_EQ(wanted.superseded_since("crew", 1), at(1s));
    EXPECT_EQ(wanted.superseded_since("other", 1), std::nullopt);
}

} // namespace
} // namespace savorymount::orders
