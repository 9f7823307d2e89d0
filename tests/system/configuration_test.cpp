#include <gtest/gtest.h>

#include <csignal>
#include <tests/system/support/deployment.hpp>
#include <thread>

namespace savorymount::tests
{
namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

// Guards against a withdrawn key that goes on working at some entry.
TEST(configuration, withdrawn_key_stops_at_every_entry)
{
    deployment system({.engines = 1, .services = 0, .entries = 3});
    auto contract = system.contract("small");
    contract["keys"] = json::array();
    system.wait_for_version(system.publish({{"workspaces/small", contract}}));
    for (std::size_t i = 0; i < 3; ++i)
    {
        auto const withdrawn = system.prompt(i, "small", {"rules"}, false, 2);
        auto const valid = system.prompt(i, "large", {"rules"}, false, 2);
        system.client().wait({withdrawn, valid});
        EXPECT_EQ(withdrawn->status, 401);
        EXPECT_EQ(withdrawn->header("x-savorymount-execution"), "not_run");
        EXPECT_EQ(valid->status, 200) << valid->body;
    }
}

// Guards against an entry that can't serve, or serves an older version, when it starts while the
// log is out: it must get the newest version from its peers.
TEST(configuration, restarted_entry_serves_the_newest_version_while_the_log_is_out)
{
    deployment system({.engines = 2, .services = 0, .entries = 1});
    auto contract = system.contract("small");
    contract["keys"] = json::array();
    auto const version = system.publish({{"workspaces/small", contract}});
    system.wait_for_version(version);
    system.control(system.platform_address, {{"log", "down"}});
    auto const& fresh = system.add_entry();
    while (system.client().request(fresh.status_address, "GET", "/readyz").status != 200)
        std::this_thread::sleep_for(20ms);
    EXPECT_EQ(system.status(fresh.status_address)["version"], version);
    auto const withdrawn = system.prompt(1, "small", {"rules"}, false, 2);
    system.client().wait({withdrawn});
    EXPECT_EQ(withdrawn->status, 401);
}

// Guards against two operators who both believe that their change is in force.
TEST(configuration, of_two_changes_on_one_base_every_instance_takes_the_first)
{
    deployment system({.engines = 1, .services = 0, .entries = 2});
    auto const base = system.status(system.entries[0].status_address)["version"];
    auto first = system.contract("small");
    first["weight"] = 3;
    auto second = system.contract("small");
    second["weight"] = 7;
    std::vector<std::uint64_t> offsets;
    for (auto const& it : {first, second})
    {
        json const record{{"id", "race-" + std::to_string(offsets.size())},
                          {"body",
                           {{"kind", "change"},
                            {"base", base},
                            {"operator", "racer"},
                            {"time_ms", 0},
                            {"documents", {{"workspaces/small", it}}}}}};
        auto const answer = system.client().request(system.platform_address, "POST", "/log/append",
                                                    {}, record.dump());
        offsets.push_back(answer.json()["offset"].get<std::uint64_t>());
    }
    system.wait_for_version(offsets[0]);
    auto const last = system.publish({{"system", {{"quarantine_seconds", 100}}}});
    system.wait_for_version(last);
    for (auto const& it : system.entries)
        EXPECT_EQ(system.status(it.status_address)["version"], last);
}

// Guards against a router that stops while the platform's log or list is out.
TEST(configuration, traffic_goes_on_while_log_or_list_is_out)
{
    deployment system({.engines = 2, .services = 0, .entries = 2});
    json const outages[] = {{{"log", "down"}}, {{"log", "up"}, {"list", "down"}}};
    for (auto const& outage : outages)
    {
        system.control(system.platform_address, outage);
        // Longer than the time for which one confirmation lets a bucket's owner grant.
        std::this_thread::sleep_for(5s);
        for (std::size_t i = 0; i < 2; ++i)
        {
            auto const answer = system.prompt(i, "large", {"rules"}, false, 2);
            system.client().wait({answer});
            EXPECT_EQ(answer->status, 200) << outage << answer->body;
        }
    }
}

} // namespace
} // namespace savorymount::tests
