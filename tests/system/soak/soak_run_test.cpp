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

} // namespace
} // namespace savorymount::soak
