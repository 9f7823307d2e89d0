#include <savorymount/routing/part_locations.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <tests/libraries/time_points.hpp>

namespace savorymount::routing
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

std::string engine_name(int number)
{
    return "engine-" + std::to_string(number);
}

// Guards against a choice of engines that differs from what is known of each engine by itself.
RC_GTEST_PROP(part_locations_properties, prefix_holders_agree_with_each_engine, ())
{
    constexpr int engines = 6;
    std::vector<std::uint64_t> const digests{1, 2, 3};
    part_locations locations;
    auto now = at(0s);
    auto const steps = *rc::gen::inRange(0, 40);
    for (int i = 0; i < steps; ++i)
    {
        auto const engine = engine_name(*rc::gen::inRange(0, engines));
        if (*rc::gen::inRange(0, 12) == 0)
            locations.invalidate_engine(engine);
        else
            locations.record_assignment(now, *rc::gen::elementOf(digests), engine);
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 1500));
    }
    auto const holders = locations.find_prefix_holders(now, digests);
    for (int i = 0; i < engines; ++i)
        RC_ASSERT(holders.cached_parts(engine_name(i)) ==
                  locations.cached_prefix_length(now, digests, engine_name(i)));
    for (int excluded = 0; excluded < engines; ++excluded)
    {
        std::size_t most = 0;
        for (int i = 0; i < engines; ++i)
            most = i == excluded ? most : std::max(most, holders.cached_parts(engine_name(i)));
        auto const* const best = holders.longest(engine_name(excluded));
        RC_ASSERT((best == nullptr) == (most == 0));
        if (best == nullptr)
            continue;
        RC_ASSERT(best->engine != engine_name(excluded));
        RC_ASSERT(best->cached_parts == most);
    }
}

// Guards against fetching parts from an engine that has probably evicted them.
TEST(part_locations, of_equal_holders_the_one_that_used_the_part_last_comes_first)
{
    part_locations locations;
    locations.record_assignment(at(0s), 1, "early");
    locations.record_assignment(at(1s), 1, "late");
    auto const holders = locations.find_prefix_holders(at(2s), {1});
    ASSERT_NE(holders.longest(""), nullptr);
    EXPECT_EQ(*holders.longest(""), (prefix_holder{"late", 1, 1s}));
    EXPECT_EQ(*holders.longest("late"), (prefix_holder{"early", 1, 2s}));
}

} // namespace
} // namespace savorymount::routing
