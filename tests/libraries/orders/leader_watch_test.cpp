#include <savorymount/orders/leader_watch.hpp>

#include <gtest/gtest.h>

#include <tests/libraries/time_points.hpp>

namespace savorymount::orders
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

// Guards against a new leader that is taken to know the orders of the one before it.
TEST(leader_watch, a_leader_is_settled_when_the_loads_of_the_one_before_it_are_listed)
{
    leader_watch watch;
    EXPECT_FALSE(watch.settled_leader(at(9s)));
    watch.leads(at(10s), "a");
    watch.leads(at(12s), "a");
    EXPECT_FALSE(watch.settled_leader(at(12s)));
    EXPECT_EQ(watch.settled_leader(at(13s)), "a");
    watch.leads(at(13s), "b");
    EXPECT_FALSE(watch.settled_leader(at(13s)));
    watch.leads_no_more("a");
    EXPECT_EQ(watch.settled_leader(at(16s)), "b");
    watch.leads_no_more("b");
    EXPECT_FALSE(watch.settled_leader(at(16s)));
}

// Guards against reports that were missed during a pause of the process.
TEST(leader_watch, a_leader_has_to_settle_again_after_reports_may_have_been_missed)
{
    leader_watch watch;
    watch.leads(at(0s), "a");
    watch.forget();
    watch.leads(at(4s), "a");
    EXPECT_FALSE(watch.settled_leader(at(5s)));
    EXPECT_TRUE(watch.settled_leader(at(7s)));
}

} // namespace
} // namespace savorymount::orders
