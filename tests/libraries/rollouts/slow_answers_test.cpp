#include <savorymount/rollouts/slow_answers.hpp>

#include <gtest/gtest.h>

namespace savorymount::rollouts
{
namespace
{

using namespace std::chrono_literals;

// Guards against a limit for which nothing is known yet, so that every first answer counts as slow.
TEST(slow_answers, nothing_is_slow_before_the_other_version_has_answered)
{
    slow_answers answers;
    auto const it = slow_answers::class_of("ask", 100);
    EXPECT_FALSE(answers.is_slow(it, {10s, 10s}));
    answers.record_usual(it, {100ms, 5ms});
    EXPECT_FALSE(answers.is_slow(it, {10s, 10s}));
}

// Guards against slow answers that go unnoticed, at the start or between two events.
TEST(slow_answers, answer_is_slow_after_several_times_the_usual_time)
{
    slow_answers answers;
    auto const it = slow_answers::class_of("ask", 100);
    for (int n = 0; n < 100; ++n)
        answers.record_usual(it, {100ms, 20ms});
    EXPECT_FALSE(answers.is_slow(it, {250ms, 50ms}));
    EXPECT_TRUE(answers.is_slow(it, {350ms, 20ms}));
    EXPECT_TRUE(answers.is_slow(it, {100ms, 70ms}));
}

// Guards against new engines that look slow because they have no prompt part in memory yet.
TEST(slow_answers, prompts_are_compared_with_prompts_of_the_same_work)
{
    slow_answers answers;
    for (int n = 0; n < 100; ++n)
    {
        answers.record_usual(slow_answers::class_of("ask", 100), {20ms, 5ms});
        answers.record_usual(slow_answers::class_of("ask", 9000), {400ms, 5ms});
    }
    EXPECT_FALSE(answers.is_slow(slow_answers::class_of("ask", 9000), {500ms, 5ms}));
    EXPECT_TRUE(answers.is_slow(slow_answers::class_of("ask", 100), {500ms, 5ms}));
}

} // namespace
} // namespace savorymount::rollouts
