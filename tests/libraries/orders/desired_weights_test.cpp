#include <savorymount/orders/desired_weights.hpp>

#include <gtest/gtest.h>

#include <tests/libraries/time_points.hpp>

namespace savorymount::orders
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

// Guards against dating an outdated engine by the newest version instead of the next one. In one
// run, requests began on version 1 more than eight seconds after version 2 was published, because
// version 3 was published in between.
TEST(desired_weights, version_is_superseded_when_the_next_one_is_published)
{
    desired_weights desired;
    desired.add_version("crew", 1, at(0s));
    desired.add_version("crew", 2, at(2s));
    desired.add_version("crew", 3, at(6s));
    EXPECT_EQ(desired.newest_version("crew"), 3U);
    EXPECT_EQ(desired.superseded_since("crew", 1), at(2s));
    EXPECT_EQ(desired.superseded_since("crew", 2), at(6s));
    EXPECT_EQ(desired.superseded_since("crew", 3), std::nullopt);
}

// Guards against a restarted instance that treats a version published long ago as new.
TEST(desired_weights, unseen_versions_are_dated_before_the_first_known_one)
{
    desired_weights desired;
    desired.add_version("crew", 4, at(7s));
    EXPECT_EQ(desired.superseded_since("crew", 3), at(7s));
    EXPECT_EQ(desired.superseded_since("crew", 2), at(4s));
    EXPECT_EQ(desired.superseded_since("crew", 1), at(1s));
}

// Guards against engines that are left out too early, because a version that was not seen is dated
// before a time at which it was not there.
TEST(desired_weights, unseen_versions_are_not_dated_before_the_read_without_them)
{
    desired_weights desired;
    desired.add_version("crew", 2, at(1s));
    desired.add_version("crew", 5, at(9s));
    EXPECT_EQ(desired.superseded_since("crew", 2), at(9s));
    EXPECT_EQ(desired.superseded_since("crew", 3), at(9s));
}

// Guards against a late write of an older version that counts as the newest one, and that makes
// engines with still older weights look superseded later than they are.
TEST(desired_weights, an_older_version_that_appears_late_changes_nothing)
{
    desired_weights desired;
    desired.add_version("crew", 1, at(0s));
    desired.add_version("crew", 3, at(4s));
    desired.add_version("crew", 2, at(6s));
    EXPECT_EQ(desired.newest_version("crew"), 3U);
    EXPECT_EQ(desired.newest_versions(), (std::map<std::string, std::uint64_t>{{"crew", 3}}));
    EXPECT_EQ(desired.superseded_since("crew", 1), at(4s));
    EXPECT_EQ(desired.superseded_since("crew", 2), at(4s));
}

// Guards against a repeated publication that resets the time of a version.
TEST(desired_weights, repeated_publication_keeps_the_first_time)
{
    desired_weights desired;
    desired.add_version("crew", 2, at(1s));
    desired.add_version("crew", 2, at(9s));
    EXPECT_EQ(desired.superseded_since("crew", 1), at(1s));
    EXPECT_EQ(desired.superseded_since("other", 1), std::nullopt);
}

} // namespace
} // namespace savorymount::orders
