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

inline constexpr std::uint64_t fixed_seed = 0x5eed0001;

/// Checks a RapidCheck property with `runs` generated cases as part of the current test. The seed
/// is fixed, so that a failure can be repeated; `RC_PARAMS` in the environment replaces it.
template <typename Testable>
void check_property(int runs, Testable&& property)
{
    auto params = rc::detail::configuration().testParams;
    if (std::getenv("RC_PARAMS") == nullptr)
        params.seed = fixed_seed;
    params.maxSuccess = runs;
    auto const* const test = testing::UnitTest::GetInstance()->current_test_info();
    rc::detail::TestMetadata metadata;
    metadata.id = std::string(test->test_suite_name()) + "/" + test->name();
    metadata.description = test->name();
    auto const result =
        rc::detail::checkTestable(std::forward<Testable>(property), metadata, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << text.str();
}

} // namespace savorymount::tests
