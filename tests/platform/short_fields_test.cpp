#include <savorymount/runtime/http_message.hpp>

#include <gtest/gtest.h>

#include <string>

namespace savorymount::tests
{
namespace
{

// Guards against work that is the product of the options of Connection and the fields: a client
// chooses both, and this product would not end within the test's limit.
TEST(short_fields, the_options_of_a_connection_are_looked_at_once)
{
    constexpr std::size_t count = 300'000;
    std::string options;
    runtime::http_headers headers{{"x-named", "gone"}, {"Kept", "kept"}};
    for (std::size_t i = 0; i < count; ++i)
    {
        options += "a,";
        headers.push_back({"b", "c"});
    }
    headers.push_back({"Connection", options + "X-Named"});
    auto const kept = runtime::end_to_end_headers(headers);
    EXPECT_EQ(kept.size(), count + 1);
    EXPECT_EQ(kept.front().name, "Kept");
}

} // namespace
} // namespace savorymount::tests
