#include <savorymount/gateway/settings_reload.hpp>

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <utility>

namespace savorymount::gateway
{
namespace
{

runtime::parsed_settings parsed(std::map<std::string, std::string> const& flags)
{
    runtime::settings_parser parser("gateway");
    declare_gateway_settings(parser);
    std::vector<std::string> arguments{"gateway"};
    for (auto const& [name, value] : flags)
    {
        std::string flag = "--";
        flag += name;
        flag += '=';
        flag += value;
        arguments.push_back(std::move(flag));
    }
    for (char const* it : {"instance=one", "data-centre=liege", "http-listen=127.0.0.1:0",
                           "ready-listen=127.0.0.1:0", "metrics-listen=127.0.0.1:0",
                           "peer-listen=127.0.0.1:0", "store-address=127.0.0.1:1"})
        arguments.push_back(std::string("--") + it);
    std::vector<char const*> argv;
    argv.reserve(arguments.size());
    for (auto const& it : arguments)
        argv.push_back(it.c_str());
    base::error reason;
    auto const out = parser.parse(static_cast<int>(argv.size()), argv.data(), reason);
    EXPECT_TRUE(out) << reason.message;
    return *out;
}

gateway_settings settings_of(runtime::parsed_settings const& values)
{
    base::error reason;
    return *parse_gateway_settings(values, reason);
}

// Guards against a reloadable setting that is applied only after a restart, and against a change
// that is not reported.
TEST(settings_reload, applies_reloadable_settings_and_reports_every_difference)
{
    auto const before = parsed({{"retry-ratio", "0.2"}, {"lease-ms", "3000"}});
    auto after = parsed({{"retry-ratio", "0.3"}, {"lease-ms", "4000"}});
    settings_reload reload({before, [&](base::error&)
                            {
                                return after;
                            }});
    auto settings = settings_of(before);
    base::error reason;
    auto const changes = reload.read(settings, reason);
    ASSERT_TRUE(changes);
    EXPECT_EQ(*changes, (std::vector<setting_change>{{"lease-ms", "3000", "4000", false},
                                                     {"retry-ratio", "0.2", "0.3", true}}));
    EXPECT_EQ(settings.retries.ratio, 0.3);
    EXPECT_EQ(settings.leader_lease, std::chrono::seconds(3));
    // An applied change is reported once; one that needs a restart is reported each time.
    EXPECT_EQ(reload.read(settings, reason)->size(), 1U);
}

// Guards against a partly written or invalid file that resets settings.
TEST(settings_reload, keeps_all_settings_if_the_new_ones_are_invalid)
{
    auto const before = parsed({});
    settings_reload reload({before, [&](base::error&)
                            {
                                return parsed({{"grace-s", "none"}});
                            }});
    auto settings = settings_of(before);
    base::error reason;
    EXPECT_FALSE(reload.read(settings, reason));
    EXPECT_NE(reason.message.find("grace-s"), std::string::npos);
    EXPECT_EQ(settings.shutdown_grace_period, settings_of(before).shutdown_grace_period);
}

// Guards against missing a change of the file when no SIGHUP is sent.
TEST(settings_file_watch, detects_a_written_file)
{
    auto const path = testing::TempDir() + "savorymount-settings-watch";
    std::ofstream(path) << "a";
    settings_file_watch watch(path);
    EXPECT_FALSE(watch.changed());
    std::ofstream(path) << "b";
    EXPECT_TRUE(watch.changed());
    EXPECT_FALSE(watch.changed());
    std::remove(path.c_str());
    EXPECT_FALSE(watch.changed());
}

} // namespace
} // namespace savorymount::gateway
