#include <savorymount/base/random_source.hpp>
#include <savorymount/rollouts/version_judge.hpp>

#include <gtest/gtest.h>

#include <string>

namespace savorymount::rollouts
{
namespace
{

constexpr std::uint32_t first_engine = 7;

evidence_key key_of(std::string const& route, std::uint32_t upstream,
                    rollout_step step = rollout_step::probe)
{
    return {step, route, upstream};
}

// Guards against a version that fails part of its requests and is not noticed by its fiftieth bad
// answer.
TEST(version_judge, version_that_fails_a_fifth_is_found_bad_within_fifty_bad_answers)
{
    evidence_counts total;
    total[key_of("ask", other_versions)] = {2300, 10, 0};
    for (std::uint32_t n = 0; n < 5; ++n)
        total[key_of("ask", first_engine + n)] = {50, 10, 0};
    auto const found = judge(total);
    ASSERT_TRUE(found);
    EXPECT_TRUE(found->by_failures);
}

// Guards against a version that is bad on one seldom used route and hides behind the others.
TEST(version_judge, version_that_is_bad_on_one_route_is_found_bad)
{
    evidence_counts total;
    total[key_of("common", other_versions)] = {90'000, 900, 0};
    total[key_of("rare", other_versions)] = {900, 2, 0};
    for (std::uint32_t n = 0; n < 4; ++n)
    {
        total[key_of("common", first_engine + n)] = {2500, 25, 0};
        total[key_of("rare", first_engine + n)] = {25, 9, 0};
    }
    auto const found = judge(total);
    ASSERT_TRUE(found);
    EXPECT_EQ(found->route, "rare");
}

// Guards against a version whose answers are late and never fail.
TEST(version_judge, version_with_slow_answers_is_found_bad)
{
    evidence_counts total;
    total[key_of("ask", other_versions)] = {2000, 0, 60};
    for (std::uint32_t n = 0; n < 4; ++n)
        total[key_of("ask", first_engine + n)] = {40, 0, 14};
    auto const found = judge(total);
    ASSERT_TRUE(found);
    EXPECT_FALSE(found->by_failures);
}

// Guards against giving up a good version when a cause makes all upstreams fail.
TEST(version_judge, failures_of_both_versions_are_no_evidence)
{
    evidence_counts total;
    total[key_of("ask", other_versions)] = {9000, 2700, 900};
    for (std::uint32_t n = 0; n < 4; ++n)
        total[key_of("ask", first_engine + n)] = {250, 76, 24};
    EXPECT_EQ(judge(total), std::nullopt);
}

// Guards against counting failures of a time in which the target got more against it: over all
// steps together its rate looks three times as high.
TEST(version_judge, failures_are_compared_within_the_same_step)
{
    evidence_counts total;
    total[key_of("ask", other_versions, rollout_step::probe)] = {9000, 0, 0};
    total[key_of("ask", other_versions, rollout_step::two_fifths)] = {1000, 200, 0};
    for (std::uint32_t n = 0; n < 4; ++n)
    {
        total[key_of("ask", first_engine + n, rollout_step::probe)] = {200, 0, 0};
        total[key_of("ask", first_engine + n, rollout_step::two_fifths)] = {250, 50, 0};
    }
    EXPECT_EQ(judge(total), std::nullopt);
}

// Guards against giving up a good version because one of its engines fails.
TEST(version_judge, failures_of_a_single_upstream_are_its_own)
{
    evidence_counts total;
    total[key_of("ask", other_versions)] = {9000, 9, 0};
    total[key_of("ask", first_engine)] = {300, 150, 0};
    for (std::uint32_t n = 1; n < 4; ++n)
        total[key_of("ask", first_engine + n)] = {300, 0, 0};
    EXPECT_EQ(judge(total), std::nullopt);
}

// Guards against false judgements: a test that looks often gives up a good version by chance. The
// rates of both versions are the same, from rare faults to a time in which most answers fail.
TEST(version_judge, versions_alike_are_judged_bad_in_fewer_than_one_of_a_thousand_histories)
{
    base::random_source random(20);
    int false_judgements = 0;
    constexpr int histories = 1000;
    for (int n = 0; n < histories; ++n)
    {
        double const failing = random.uniform_real() * random.uniform_real();
        double const slow = random.uniform_real() * 0.3;
        double const share = 0.05 + 0.6 * random.uniform_real();
        auto const engines = 1 + random.uniform_below(8);
        evidence_counts total;
        bool bad = false;
        for (int answer = 0; answer < 1500 && !bad; ++answer)
        {
            bool const is_target = random.uniform_real() < share;
            auto const engine = static_cast<std::uint32_t>(random.uniform_below(engines));
            auto& it = total[key_of(random.uniform_real() < 0.2 ? "rare" : "common",
                                    is_target ? first_engine + engine : other_versions)];
            bool const failed = random.uniform_real() < failing;
            it.answers += 1;
            it.failures += failed ? 1 : 0;
            it.slow += !failed && random.uniform_real() < slow ? 1 : 0;
            bad = answer % 15 == 0 && judge(total).has_value();
        }
        false_judgements += bad ? 1 : 0;
    }
    EXPECT_EQ(false_judgements, 0) << "of " << histories;
}

} // namespace
} // namespace savorymount::rollouts
