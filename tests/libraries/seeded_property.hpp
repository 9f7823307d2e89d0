#pragma once

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <cstdlib>
#include <sstream>
#include <string>
#include <utility>

namespace savorymount::tests
{

/// Checks a RapidCheck property on `runs` generated cases from `seed`, as part of the current test.
/// `RC_PARAMS` in the environment replaces the seed and the number of cases.
/// Without `shrink` a failing case is reported as generated, for properties that take long.
template <typename Testable>
void check_seeded(std::uint64_t seed, int runs, Testable&& property, bool shrink = true)
{
    auto params = rc::detail::configuration().testParams;
    if (std::getenv("RC_PARAMS") == nullptr)
    {
        params.seed = seed;
        params.maxSuccess = runs;
    }
    params.disableShrinking = !shrink;
    auto const* const test = testing::UnitTest::GetInstance()->current_test_info();
    rc::detail::TestMetadata metadata;
    metadata.id = std::string(test->test_suite_name()) + "/" + test->name();
    metadata.description = test->name();
    auto const result =
        rc::detail::checkTestable(std::forward<Testable>(property), metadata, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << "seed " << params.seed << "\n"
                                                                 << text.str();
}

} // namespace savorymount::tests
