#include "../seeded_property.hpp"
#include <savorymount/limits/overload_gate.hpp>

#include <map>
#include <string>
#include <tests/libraries/time_points.hpp>

namespace savorymount::limits
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::at;

// Guards against a flood that reaches the agents with each request.
TEST(overload_gate, refuses_after_repeated_refusals_until_the_hint_ends)
{
    overload_gate gate;
    for (int n = 0; n < 3; ++n)
    {
        EXPECT_FALSE(gate.check(at(milliseconds(n)), "w"));
        gate.refused(at(milliseconds(n)), "w", milliseconds(500));
    }
    EXPECT_EQ(gate.check(at(milliseconds(102)), "w"), milliseconds(400));
    EXPECT_FALSE(gate.check(at(milliseconds(102)), "other"));
    EXPECT_FALSE(gate.check(at(milliseconds(502)), "w"));
}

// Guards against refusals after the workspace is within its rate again.
TEST(overload_gate, admission_opens_at_once)
{
    overload_gate gate;
    for (int n = 0; n < 5; ++n)
        gate.refused(at({}), "w", seconds(2));
    EXPECT_TRUE(gate.check(at({}), "w"));
    gate.admitted("w");
    EXPECT_FALSE(gate.check(at({}), "w"));
    gate.refused(at({}), "w", seconds(2));
    EXPECT_FALSE(gate.check(at({}), "w"));
}

// Guards against a single refusal long ago that counts towards the threshold.
TEST(overload_gate, old_refusals_do_not_add_up)
{
    overload_gate gate;
    for (int n = 0; n < 10; ++n)
        gate.refused(at(seconds(3 * n)), "w", milliseconds(100));
    EXPECT_FALSE(gate.check(at(seconds(27)), "w"));
}

// Guards against a refusal that outlasts the newest hint, whatever happened before.
TEST(overload_gate, never_refuses_beyond_the_newest_hint)
{
    tests::check_seeded(0x32, 1000,
                        []
                        {
                            overload_gate gate(*rc::gen::inRange(1U, 5U), 8);
                            std::map<std::string, base::time_point> hints;
                            auto now = at({});
                            auto const steps = *rc::gen::inRange(1, 100);
                            for (int n = 0; n < steps; ++n)
                            {
                                now += milliseconds(*rc::gen::inRange(0, 400));
                                auto const workspace = std::string(1, *rc::gen::inRange('a', 'm'));
                                if (*rc::gen::inRange(0, 3) == 0)
                                {
                                    auto const hint = milliseconds(*rc::gen::inRange(0, 3000));
                                    gate.refused(now, workspace, hint);
                                    hints[workspace] = now + hint;
                                }
                                auto const refusal = gate.check(now, workspace);
                                RC_ASSERT((!refusal || now + *refusal <= hints[workspace]));
                                RC_ASSERT(gate.size() <= 8U);
                            }
                        });
}

} // namespace
} // namespace savorymount::limits
