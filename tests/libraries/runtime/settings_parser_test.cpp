#include <savorymount/runtime/settings_parser.hpp>

#include <gtest/gtest.h>

namespace savorymount::runtime
{
namespace
{

settings_parser example()
{
    settings_parser out("example");
    out.add("listen", "127.0.0.1:0", "address").add("shared-secret", std::nullopt, "secret", true);
    return out;
}

// Guards against a start with a missing secret, which would leave the internal port open.
TEST(settings_parser, missing_setting_names_flag_and_variable)
{
    char const* const argv[] = {"example"};
    base::error reason;
    EXPECT_FALSE(example().parse(1, argv, reason));
    EXPECT_EQ(reason.message, "setting shared-secret is missing; pass --shared-secret or set "
                              "SAVORYMOUNT_SHARED_SECRET");
}

// Guards against secrets in the output of --print-settings.
TEST(settings_parser, describe_masks_secrets_and_names_sources)
{
    char const* const argv[] = {"example", "--shared-secret=hush"};
    base::error reason;
    auto const parser = example();
    auto const settings = parser.parse(2, argv, reason);
    ASSERT_TRUE(settings);
    EXPECT_EQ(parser.describe(*settings),
              "listen=127.0.0.1:0 (default)\nshared-secret=*** (flag)\n");
}

TEST(settings_parser, rejects_host_names_and_numbers_out_of_bounds)
{
    base::error reason;
    EXPECT_FALSE(parse_address("log", "localhost:80", reason));
    EXPECT_FALSE(parse_number("capacity", "12x", 0, 100, reason));
    EXPECT_FALSE(parse_number("capacity", "101", 0, 100, reason));
    EXPECT_EQ(parse_address("log", "127.0.0.1:80", reason), (network_address{"127.0.0.1", 80}));
}

// Guards against an address that carries other bytes into a header field.
TEST(settings_parser, addresses_hold_no_other_bytes)
{
    using namespace std::string_literals;
    base::error reason;
    for (auto const& it :
         {"127.0.0.1:65536"s, "127.0.0.1:99999"s, "127.0.0.1:-1"s, "127.0.0.1:"s, "127.0.0.1\0:80"s,
          "127.0.0.1\0\r\nX-Tenant: b:80"s, "127.0.0.1:18446744073709551616"s})
        EXPECT_FALSE(parse_address("address", it, reason)) << it;
}

} // namespace
} // namespace savorymount::runtime
