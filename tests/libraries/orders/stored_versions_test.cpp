#include <savorymount/orders/stored_versions.hpp>

#include <gtest/gtest.h>

#include <tests/libraries/time_points.hpp>

namespace savorymount::orders
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

// Guards against a version that no record shows when all processes end, and against more than one
// write of it.
TEST(stored_versions, the_leader_writes_each_new_version_once)
{
    desired_weights desired;
    stored_versions records;
    records.on_read({{"crew", 2}});
    desired.add_version("crew", 2, at(0s));
    desired.add_version("mate", 1, at(0s));
    EXPECT_EQ(records.next_append(at(0s), desired, true), std::nullopt);
    desired.add_version("crew", 4, at(1s));
    desired.add_version("crew", 3, at(1s));
    EXPECT_EQ(records.next_append(at(1s), desired, true), (version_record{"crew", 4}));
    records.on_append_accepted({"crew", 4});
    EXPECT_EQ(records.next_append(at(1s), desired, true), std::nullopt);
}

// Guards against a version that is never recorded, since there is no leader, and against a write by
// each instance.
TEST(stored_versions, others_write_if_the_leader_does_not)
{
    desired_weights desired;
    stored_versions records;
    records.on_read({});
    desired.add_version("crew", 2, at(0s));
    EXPECT_EQ(records.next_append(at(0s), desired, false), std::nullopt);
    EXPECT_EQ(records.next_append(at(500ms), desired, false), std::nullopt);
    EXPECT_EQ(records.next_append(at(1s), desired, false), (version_record{"crew", 2}));
    records.on_read({{"crew", 2}});
    EXPECT_EQ(records.next_append(at(2s), desired, false), std::nullopt);
    // The store came back from an older copy.
    records.on_read({});
    EXPECT_EQ(records.next_append(at(3s), desired, false), std::nullopt);
    EXPECT_EQ(records.next_append(at(4s), desired, false), (version_record{"crew", 2}));
}

} // namespace
} // namespace savorymount::orders
