#include "platform/cache_follower.hpp"
#include <savorymount/runtime/http_server.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <tests/platform/odd_entries.hpp>

namespace savorymount::tests
{
namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

class cache_follower_test : public testing::Test
{
protected:
    template <typename Condition>
    void run_until(Condition holds)
    {
        while (!holds())
            event_base_loop(loop.base(), EVLOOP_ONCE);
    }

    runtime::event_loop loop;
    runtime::timer_service timers{loop};
    runtime::outbound_client client{loop, timers};
};

// Guards against a follower that reads one odd event again and again, and loses those after it.
TEST_F(cache_follower_test, an_odd_event_leaves_the_others_in_force)
{
    std::string const sound = R"([1,"+","salt","part",4,"m"])";
    std::vector<std::string> targets;
    std::vector<std::string> events = odd_entries(sound);
    std::erase_if(events, [](auto const& it) { return !json::accept(it); });
    runtime::http_server server(
        loop, {},
        [&](std::shared_ptr<runtime::http_exchange> const& exchange)
        {
            auto const since =
                std::stoul(exchange->target().substr(exchange->target().find('=') + 1));
            std::string list;
            // Every odd event stands between two sound ones.
            if (since < 2)
                for (std::size_t i = 0; i < events.size(); ++i)
                    if (i % 2 == since && events[i].size() < 1000)
                        list += (list.empty() ? "" : ",") + events[i];
            list += std::string(list.empty() ? "" : ",") + R"([9,"+","salt","after )" +
                    std::to_string(since) + R"(",4,"m"])";
            exchange->respond(200, {},
                              R"({"bootEpoch":5,"nextToken":)" + std::to_string(since + 1) +
                                  R"(,"events":[)" + list + "]}");
        });
    base::error reason;
    auto const port = server.listen({"127.0.0.1", 0}, reason);
    platform::cache_follower follower(timers, client);
    std::vector<std::string> stored;
    int failures = 0;
    gateway::cache_store_events callbacks;
    callbacks.part_stored = [&](std::string const&, std::string const& it)
    {
        stored.push_back(it);
    };
    callbacks.part_evicted = [](std::string const&, std::string const&) {
    };
    callbacks.cleared = [] {
    };
    callbacks.reachability_changed = [&](bool it)
    {
        failures += it ? 0 : 1;
    };
    follower.follow("127.0.0.1:" + std::to_string(*port), callbacks);
    auto const until = timers.now() + 10s;
    auto const holds = [&](char const* it)
    {
        return std::find(stored.begin(), stored.end(), it) != stored.end();
    };
    run_until([&] { return holds("after 2") || timers.now() > until; });
    EXPECT_TRUE(holds("after 0") && holds("after 1") && holds("after 2"));
    EXPECT_EQ(failures, 0);
}

} // namespace
} // namespace savorymount::tests
