#include <gtest/gtest.h>

#include <tests/system/support/process.hpp>

namespace savorymount::tests
{
namespace
{

// Guards against a signal that goes to every process of this user, since the id is gone. Signal 0
// reaches nobody.
TEST(process, sends_no_signal_once_the_program_has_ended)
{
    process it("savorymount-gateway", {"--help"});
    EXPECT_TRUE(it.send_signal(0));
    EXPECT_EQ(it.wait(), 0);
    EXPECT_FALSE(it.send_signal(0));
}

} // namespace
} // namespace savorymount::tests
