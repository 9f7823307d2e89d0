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

inline constexpr std::uint64_t fixed_property_seed = 0x5eed0001;

/// The seed of a property: its own fixed one, so that a failure can be repeated and CI reaches the
/// same verdict each time. `SAVORYMOUNT_PROPERTY_SEED` in the environment replaces it by a seed
/// derived from both, for runs with fresh seeds.
inline std::uint64_t property_seed(std::uint64_t fixed)
{
    char const* const fresh = std::getenv("SAVORYMOUNT_PROPERTY_SEED");
    return fresh == nullptr ? fixed
                            : fixed ^ (std::strtoull(fresh, nullptr, 10) * 0x9e3779b97f4a7c15U);
}

/// Checks a RapidCheck property on `runs` generated cases from `seed`, as part of the current test.
/// Without `shrink` a failing case is reported as generated, for properties that take long.
template <typename Testable>
void check_seeded(std::uint64_t seed, int runs, Testable&& property, bool shrink = true)
{
    auto params = rc::detail::configuration().testParams;
    params.seed = property_seed(seed);
    params.maxSuccess = runs;
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

/// Checks a property from the seed that all such properties share.
template <typename Testable>
void check_property(int runs, Testable&& property)
{
    check_seeded(fixed_property_seed, runs, std::forward<Testable>(property));
}

} // namespace savorymount::tests
