#include <gtest/gtest.h>

#include <tests/soak/soak_run.hpp>

namespace savorymount::soak
{
namespace
{

using namespace std::chrono_literals;

// A short run of the real programs under faults; `meta/savorymount soak` plays longer ones.
TEST(soak, keeps_every_promise_in_a_short_run)
{
    soak_options options;
    options.seed = 5;
    options.length = 4s;
    options.log_folder = testing::TempDir() + "savorymount-soak";
    auto const report = run_soak(options);
    EXPECT_GT(report.steps, 0U);
    EXPECT_GT(report.answered, 0U);
    for (auto const& it : report.violations)
        ADD_FAILURE() << it.promise << ": " << it.what << "; logs in " << options.log_folder;
}

// Guards against a failed seed that can't be played again.
TEST(soak, plays_the_same_plan_for_the_same_seed)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        EXPECT_EQ(make_plan(seed, 12s, {}), make_plan(seed, 12s, {}));
    EXPECT_NE(make_plan(2, 12s, {}), make_plan(3, 12s, {}));
}

// Guards against kinds of faults that change which steps an earlier seed plays.
TEST(soak, keeps_the_steps_of_seeds_that_failed_before_later_kinds_came)
{
    struct earlier_plan
    {
        std::uint64_t seed;
        std::size_t steps;
        std::uint64_t digest;
    };
    for (auto const& [seed, steps, digest] :
         {earlier_plan{109, 37, 14731946488838619518U}, earlier_plan{111, 33, 6190857943519043357U},
          earlier_plan{320, 25, 16608265881573145771U},
          earlier_plan{324, 23, 17197676006768258299U}})
    {
        auto plan = make_plan(seed, 12s, {});
        std::erase_if(plan, [](planned_fault const& it)
                      { return static_cast<std::size_t>(it.kind) >= first_fault_kinds; });
        EXPECT_EQ(plan.size(), steps) << seed;
        std::uint64_t found = 0;
        for (auto const& it : plan)
            found = found * 31 + static_cast<std::uint64_t>(it.at.count()) * 7 +
                    static_cast<std::uint64_t>(it.kind) * 5 + it.target * 3 +
                    static_cast<std::uint64_t>(it.length.count());
        EXPECT_EQ(found, digest) << seed;
    }
}

} // namespace
} // namespace savorymount::soak
