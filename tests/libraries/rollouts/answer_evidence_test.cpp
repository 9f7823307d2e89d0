#include <savorymount/rollouts/answer_evidence.hpp>

#include <gtest/gtest.h>

namespace savorymount::rollouts
{
namespace
{

evidence_key const ask{rollout_step::probe, "ask", 5};

// Guards against evidence that is lost with a report, or counted twice with a late one.
TEST(answer_evidence, late_and_repeated_reports_change_nothing)
{
    answer_evidence evidence;
    evidence.add_report("one/a", {{ask, {10, 2, 1}}});
    evidence.add_report("one/a", {{ask, {30, 6, 3}}});
    evidence.add_report("one/a", {{ask, {20, 4, 2}}});
    evidence.add_report("one/a", {{ask, {30, 6, 3}}});
    EXPECT_EQ(evidence.total().at(ask), (answer_counts{30, 6, 3}));
}

// Guards against evidence that goes with the process that had counted it.
TEST(answer_evidence, counts_of_an_earlier_start_are_kept)
{
    answer_evidence evidence;
    evidence.record(ask, true, false);
    evidence.add_report("one/a", {{ask, {10, 2, 1}}});
    evidence.add_report("one/b", {{ask, {4, 1, 0}}});
    EXPECT_EQ(evidence.total().at(ask), (answer_counts{15, 4, 1}));
    EXPECT_EQ(evidence.local().at(ask), (answer_counts{1, 1, 0}));
}

// Guards against upstreams whose digest stands for the other versions.
TEST(answer_evidence, digest_never_stands_for_the_other_versions)
{
    for (int n = 0; n < 10'000; ++n)
        EXPECT_NE(upstream_digest("e" + std::to_string(n)), other_versions);
    EXPECT_EQ(upstream_digest("e1"), upstream_digest("e1"));
}

} // namespace
} // namespace savorymount::rollouts
