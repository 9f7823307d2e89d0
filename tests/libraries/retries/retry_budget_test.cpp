#include <savorymount/retries/retry_budget.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace savorymount::retries
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point at(base::duration since_start)
{
    return base::time_point(since_start + std::chrono::hours(1));
}

int spend_all(retry_budget& budget, base::time_point now)
{
    int count = 0;
    while (budget.try_spend(now))
        ++count;
    return count;
}

// Guards against retries that multiply the load of a group in which every upstream fails.
TEST(retry_budget, retries_are_a_tenth_of_the_successes)
{
    retry_budget budget({0.1, 0.0, 100.0}, at(seconds(0)));
    EXPECT_EQ(spend_all(budget, at(seconds(0))), 0);
    for (int i = 0; i < 500; ++i)
        budget.record_success(at(seconds(1)));
    EXPECT_EQ(spend_all(budget, at(seconds(1))), 50);
    EXPECT_EQ(spend_all(budget, at(seconds(1000))), 0);
}

// Guards against a group with little traffic that can never retry.
TEST(retry_budget, adds_retries_per_second_without_successes)
{
    retry_budget budget({0.1, 2.0, 10.0}, at(seconds(0)));
    EXPECT_EQ(spend_all(budget, at(seconds(0))), 2);
    EXPECT_EQ(spend_all(budget, at(milliseconds(1500))), 3);
    EXPECT_EQ(spend_all(budget, at(seconds(3600))), 10) << "the balance is limited";
}

// Guards against spending more than the initial balance plus the retries added since.
RC_GTEST_PROP(retry_budget_properties, never_spends_more_than_was_added, ())
{
    retry_budget budget({0.1, 1.0, 20.0}, at(seconds(0)));
    base::time_point now = at(seconds(0));
    double added = 1.0;
    int spent = 0;
    int const steps = *rc::gen::inRange(1, 300);
    for (int i = 0; i < steps; ++i)
    {
        base::duration const elapsed = milliseconds(*rc::gen::inRange(0, 300));
        now += elapsed;
        added += std::chrono::duration<double>(elapsed).count();
        if (*rc::gen::arbitrary<bool>())
        {
            budget.record_success(now);
            added += 0.1;
        }
        else
        {
            spent += budget.try_spend(now) ? 1 : 0;
        }
        RC_ASSERT(spent <= added + 1e-6);
        RC_ASSERT(budget.available(now) <= 20.0);
    }
}

} // namespace
} // namespace savorymount::retries
