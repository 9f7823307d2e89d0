#include <gtest/gtest.h>

#include <tests/system/support/http_client.hpp>
#include <tests/system/support/program.hpp>

namespace savorymount::tests
{
namespace
{

using nlohmann::json;

class platform_stand_in : public testing::Test
{
protected:
    json append(std::string const& id)
    {
        return client.post(port, "/log/append", {{"id", id}, {"body", {{"n", id}}}}).content();
    }

    void control(json const& body)
    {
        ASSERT_EQ(client.post(port, "/control", body).status, 200) << body;
    }

    static std::vector<std::string> ids(json const& read)
    {
        std::vector<std::string> out;
        for (auto const& it : read.at("records"))
            out.push_back(it.at("id"));
        return out;
    }

    program platform{"savorymount-platform-stand-in", {"--weights-at-once", "1"}};
    http_client client;
    std::uint16_t port = platform.read_port();
};

using names = std::vector<std::string>;

// Guards against offsets that skip, repeat or collapse appends of the same id.
TEST_F(platform_stand_in, appends_are_numbered_and_read_in_order)
{
    EXPECT_EQ(append("a"), json({{"offset", 1}}));
    EXPECT_EQ(append("b"), json({{"offset", 2}}));
    EXPECT_EQ(append("a"), json({{"offset", 3}}));
    auto const all = client.get(port, "/log/read?from=0");
    EXPECT_EQ(ids(all), (names{"a", "b", "a"}));
    EXPECT_EQ(all.at("first"), 1);
    EXPECT_EQ(all.at("next"), 4);
    EXPECT_EQ(all.at("records")[1].at("body"), json({{"n", "b"}}));
    auto const page = client.get(port, "/log/read?from=2&limit=1");
    EXPECT_EQ(ids(page), names{"b"});
    EXPECT_EQ(page.at("next"), 3);
    EXPECT_EQ(client.get(port, "/log/read?from=9").at("next"), 4);
}

// Guards against expired records that are still served, and against reuse of their offsets.
TEST_F(platform_stand_in, records_expire_and_offsets_go_on)
{
    append("a");
    append("b");
    control({{"retention_ms", 0}});
    client.run_until([&] { return client.get(port, "/log/read?from=1").at("first") == 3; });
    control({{"retention_ms", 3'600'000}});
    EXPECT_EQ(append("c"), json({{"offset", 3}}));
    auto const left = client.get(port, "/log/read?from=1");
    EXPECT_EQ(left.at("first"), 3);
    EXPECT_EQ(ids(left), names{"c"});
}

// Guards against a fault mode that loses the append together with its response, or keeps it when
// the log is down.
TEST_F(platform_stand_in, log_faults_differ_in_whether_the_append_took_effect)
{
    control({{"log", "down"}});
    EXPECT_EQ(client.post(port, "/log/append", {{"id", "a"}, {"body", 1}}).status, 503);
    EXPECT_EQ(client.fetch(port, "GET", "/log/read?from=1").status, 503);
    control({{"log", "lose_answers"}});
    EXPECT_TRUE(client.post(port, "/log/append", {{"id", "b"}, {"body", 1}}).failure);
    control({{"log", "slow"}, {"slow_ms", 1}});
    EXPECT_EQ(append("c"), json({{"offset", 2}}));
    control({{"log", "up"}});
    EXPECT_EQ(ids(client.get(port, "/log/read?from=1")), (names{"b", "c"}));
}

// Guards against a list that shows changes at once although it is frozen or lags.
TEST_F(platform_stand_in, list_shows_changes_unless_frozen_or_late)
{
    control({{"add_instance", {{"id", "agent-1"}, {"role", "agent"}}}});
    EXPECT_EQ(client.get(port, "/instances").at("instances"),
              json::array({{{"id", "agent-1"}, {"role", "agent"}, {"state", "live"}}}));
    control({{"list", "frozen"}});
    control({{"leaving_instance", "agent-1"}});
    EXPECT_EQ(client.get(port, "/instances").at("instances")[0].at("state"), "live");
    control({{"list", "up"}});
    EXPECT_EQ(client.get(port, "/instances").at("instances")[0].at("state"), "leaving");
    control({{"list_lag_ms", 3'600'000}});
    EXPECT_EQ(client.get(port, "/instances").at("instances"), json::array());
    control({{"list_lag_ms", 0}, {"remove_instance", "agent-1"}});
    EXPECT_EQ(client.get(port, "/instances").at("instances"), json::array());
    control({{"list", "down"}});
    EXPECT_EQ(client.fetch(port, "GET", "/instances").status, 503);
}

// Guards against a weight store without a rate limit.
TEST_F(platform_stand_in, weights_are_refused_above_the_rate)
{
    program const strict("savorymount-platform-stand-in",
                         {"--weights-per-second", "1", "--weights-ms", "0"});
    std::uint16_t const strict_port = const_cast<program&>(strict).read_port();
    EXPECT_EQ(client.fetch(strict_port, "GET", "/weights/m/1").status, 200);
    EXPECT_EQ(client.fetch(strict_port, "GET", "/weights/m/1").status, 429);
}

// Guards against tests that pass because a misspelt fault was never set.
TEST_F(platform_stand_in, unknown_controls_are_refused)
{
    EXPECT_EQ(client.post(port, "/control", {{"log", "sideways"}}).status, 400);
    EXPECT_EQ(client.post(port, "/control", {{"lag", 1}}).status, 400);
    EXPECT_EQ(client.fetch(port, "POST", "/control", "[").status, 400);
    EXPECT_EQ(client.fetch(port, "POST", "/log/append", "{}").status, 400);
}

// Guards against a stand-in that outlives its test run.
TEST_F(platform_stand_in, sigterm_ends_the_process)
{
    platform.send_signal(SIGTERM);
    EXPECT_EQ(platform.wait(), 0);
}

} // namespace
} // namespace savorymount::tests
