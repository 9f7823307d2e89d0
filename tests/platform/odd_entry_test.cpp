#include "platform/configuration_decoder.hpp"
#include "platform/engine_client.hpp"
#include "platform/membership_topic.hpp"
#include "platform/stream_topic.hpp"
#include "platform/upstream_decoder.hpp"
#include <savorymount/gateway/peer_report_codec.hpp>
#include <savorymount/gateway/platform_adapter.hpp>
#include <savorymount/runtime/callback_guard.hpp>
#include <savorymount/runtime/http_server.hpp>
#include <savorymount/runtime/plugin_registry.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <tests/libraries/runtime/scripted_server.hpp>
#include <tests/platform/odd_entries.hpp>
#include <tests/stand_ins/users_platform/keyed_topics.hpp>

namespace savorymount::tests
{
namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::uint64_t max_number = std::uint64_t{1} << 53;
constexpr std::size_t max_name_bytes = 256;
constexpr std::size_t max_reason_bytes = 1024;

constexpr char const* sound_upstream =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"ready",)"
    R"("coldLeftMs":0,"sequence":7,"born":12345,"models":[{"name":"m","version":3}]})";

std::string shortened(std::string const& text)
{
    return text.size() < 400 ? text
                             : text.substr(0, 200) + " ... " + text.substr(text.size() - 150);
}

bool is_name(std::string const& text)
{
    return text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(),
                       [](char it)
                       { return static_cast<unsigned char>(it) >= 0x20 && it != 0x7f; });
}

std::string answer(std::string const& body, std::string const& fields = "")
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

void expect_plausible(membership::upstream_record const& it, std::string const& text)
{
    base::error ignored;
    auto const address = runtime::parse_address("address", it.address, ignored);
    EXPECT_TRUE(address && address->port != 0) << shortened(text);
    EXPECT_EQ(it.address, to_string(*address)) << shortened(text);
    for (auto const& name : {it.service, it.data_centre, it.software_version})
        EXPECT_TRUE(is_name(name)) << shortened(text);
    EXPECT_TRUE(it.started_unix_ms >= 0 &&
                it.started_unix_ms <= static_cast<std::int64_t>(max_number))
        << shortened(text);
    auto const written = json::parse(text);
    EXPECT_EQ(json(it.slots), written.at("slots")) << shortened(text);
    for (auto const& [model, version] : it.weights)
        EXPECT_TRUE(is_name(model) && version < max_number) << shortened(text);
    // A stream that it serves is told to the other instances.
    membership::peer_report report;
    report.instance = "a";
    report.incarnation = "i";
    report.streams = {{1, it.service, it.software_version}};
    auto const read = gateway::decode_peer_report(gateway::encode_peer_report(report));
    EXPECT_TRUE(read && read->streams == report.streams) << shortened(text);
}

// Guards against an entry that ends the process, or whose numbers are taken for other ones.
TEST(odd_entry, upstream_entries_are_ignored_or_taken_as_written)
{
    for (auto const& text : odd_entries(sound_upstream))
    {
        base::error reason;
        std::optional<membership::upstream_record> it;
        EXPECT_NO_THROW(it = platform::decode_upstream("id", text, reason)) << shortened(text);
        if (it)
            expect_plausible(*it, text);
        else
            EXPECT_LE(reason.message.size(), max_reason_bytes) << shortened(text);
    }
}

// Guards against a configuration whose numbers or texts stop the reports between instances, and
// against a log line as long as the record.
TEST(odd_entry, configurations_are_ignored_or_bounded)
{
    std::string const sound =
        R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","kind":"streaming",)"
        R"("timeoutMs":6000,"trafficSplit":[{"service":"s","weight":90}],"maxAttempts":2,)"
        R"("gapAimMs":400}],"services":[{"name":"s","engine":{"kvTokens":9},"maxConns":2},)"
        R"({"name":"k","kvStoreAddr":"172.20.0.2:8604","zone":"z"}],"limits":{"maxBodyBytes":9},)"
        R"("tenants":[{"name":"t","apiKeys":["k"],"ratePerS":5,"burst":1e3,"plainTokens":2}]})";
    constexpr std::uint64_t max_tokens = 1'000'000'000'000'000;
    for (auto const& text : odd_entries(sound))
    {
        base::error reason;
        std::optional<configuration::deployment> it;
        EXPECT_NO_THROW(it = platform::decode_configuration(text, reason)) << shortened(text);
        if (!it)
        {
            EXPECT_LE(reason.message.size(), max_reason_bytes) << shortened(text);
            continue;
        }
        EXPECT_LT(it->version, max_number) << shortened(text);
        for (auto const& route : it->routes)
        {
            EXPECT_TRUE(route.timeout >= 0s && route.timeout <= 24h) << shortened(text);
            for (auto const& share : route.shares)
                EXPECT_TRUE(is_name(share.service) && share.weight >= 0 && share.weight <= 1e9)
                    << shortened(text);
        }
        for (auto const& workspace : it->workspaces)
        {
            EXPECT_TRUE(is_name(workspace.name)) << shortened(text);
            EXPECT_LE(workspace.plain_tokens, max_tokens) << shortened(text);
        }
    }
}

// Guards against one record that hides what the others tell about streams, or that no report to
// another instance can carry.
TEST(odd_entry, records_of_streams_leave_the_others_in_force)
{
    auto const sound = platform::serialize_origins({7, {{1, "s", "v1"}, {2, "s", "v2"}}});
    auto texts = odd_entries(sound);
    for (auto& it : odd_entries(platform::serialize_versions({{"s", "v1"}})))
        texts.push_back(std::move(it));
    for (auto const& text : texts)
    {
        streams::stored_origins found;
        for (char const* const key : {"origins/other/7", "versions/other"})
            EXPECT_NO_THROW(platform::add_stream_record(found, "own", {key, text, 1}));
        platform::add_stream_record(found, "own", {"origins/own/7", sound, 2});
        EXPECT_EQ(found.last_sequence, 7U) << shortened(text);
        ASSERT_GE(found.origins.size(), 2U) << shortened(text);
        EXPECT_EQ(found.origins.back(), (streams::stream_origin{2, "s", "v2"}));
        for (auto const& it : found.origins)
            EXPECT_TRUE(is_name(it.service) && is_name(it.software_version)) << shortened(text);
        for (auto const& record : found.versions)
        {
            for (auto const& it : record.versions)
                EXPECT_TRUE(is_name(it.service) && is_name(it.software_version)) << shortened(text);
        }
    }
}

class odd_response : public testing::Test
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
    std::uint64_t failures_before = runtime::callback_failures();
};

// Guards against a member that hides the others, and against a lease whose next fence would be 0.
TEST_F(odd_response, members_leave_the_others_in_force)
{
    std::string const sound_member =
        R"({"incarnation":"i","data_centre":"d","address":"10.0.0.1:7600"})";
    std::string const sound_lease =
        R"({"holder":"a","incarnation":"i","fence":4,"released":false,"idle_ms":0})";
    auto const item = [](std::string const& key, std::string const& value, int offset)
    {
        return json{{"key", key}, {"value", to_base64(value)}, {"offset", offset}};
    };
    std::vector<std::string> answers;
    auto const add = [&](std::string const& odd_member, std::string const& odd_lease)
    {
        json const page{{"items",
                         {item("lease/weights", odd_lease, 1), item("member/a", sound_member, 2),
                          item("member/b", odd_member, 3), item("member/c", sound_member, 4)}},
                        {"more", false},
                        {"end", 5}};
        answers.push_back(answer(page.dump()));
    };
    for (auto const& it : odd_entries(sound_member))
        add(it, sound_lease);
    for (auto const& it : odd_entries(sound_lease))
        add(sound_member, it);
    auto const pages = answers.size();
    scripted_server server(loop, std::move(answers), scripted_server::afterwards::keep);
    platform::store_client store(client, server.address());
    platform::membership_topic topic(store);
    for (std::size_t i = 0; i < pages; ++i)
    {
        bool done = false;
        std::optional<gateway::membership_page> page;
        topic.read(
            [&](std::optional<gateway::membership_page> it)
            {
                page = std::move(it);
                done = true;
            });
        run_until([&] { return done; });
        ASSERT_TRUE(page) << i;
        std::map<std::string, std::string> members;
        for (auto const& it : page->members)
        {
            members[it.instance] = it.address;
            base::error ignored;
            EXPECT_TRUE(runtime::parse_address("address", it.address, ignored)) << i;
            EXPECT_TRUE(is_name(it.incarnation) && is_name(it.data_centre)) << i;
        }
        EXPECT_TRUE(members.contains("a") && members.contains("c")) << i;
        EXPECT_TRUE(!page->lease || page->lease->record.fencing_token < max_number) << i;
    }
    EXPECT_EQ(runtime::callback_failures(), failures_before);
}

// Guards against a report that ends the process, or whose numbers are taken for other ones.
TEST_F(odd_response, reports_of_engines_are_ignored_or_bounded)
{
    std::string const sound = R"({"busy":false,"sequence":4,"models":[{"name":"m","version":3}]})";
    std::vector<std::string> answers;
    for (auto const& it : odd_entries(sound))
        answers.push_back(answer(it));
    answers.push_back(answer(sound));
    auto const reports = answers.size();
    scripted_server server(loop, std::move(answers), scripted_server::afterwards::keep);
    platform::engine_client engines(client);
    std::optional<orders::order_report> report;
    for (std::size_t i = 0; i < reports; ++i)
    {
        bool done = false;
        engines.read_report(to_string(server.address()),
                            [&](std::optional<orders::order_report> it, base::error const&)
                            {
                                report = std::move(it);
                                done = true;
                            });
        run_until([&] { return done; });
        if (!report)
            continue;
        EXPECT_LT(report->accepted_orders, max_number) << i;
        for (auto const& [model, version] : report->weights)
            EXPECT_TRUE(is_name(model) && version < max_number) << i;
    }
    ASSERT_TRUE(report);
    EXPECT_EQ(report->weights.at("m"), 3U);
    EXPECT_EQ(runtime::callback_failures(), failures_before);
}

/// The adapter as the gateway uses it, with a store in the same process.
class followed_store : public testing::Test
{
protected:
    void follow()
    {
        base::error reason;
        auto const port = server.listen({"127.0.0.1", 0}, reason);
        adapter = *runtime::plugin_registry<gateway::platform_adapter>::instance().make(
            "users-platform", loop, {"127.0.0.1", *port}, reason);
        gateway::platform_events callbacks;
        callbacks.deployment_changed = [this](configuration::deployment const& it)
        {
            configurations.insert(it.version);
        };
        callbacks.desired_version_changed =
            [this](std::string const& model, std::uint64_t version, std::optional<base::time_point>)
        {
            versions[model] = version;
        };
        callbacks.upstream_listed = [this](membership::upstream_record const& it)
        {
            listed[it.id] = it;
        };
        callbacks.upstream_unlisted = [this](std::string const& it, std::optional<base::time_point>)
        {
            listed.erase(it);
        };
        callbacks.entry_invalid = [this](std::string const& key, base::error const&)
        {
            ++ignored[key];
        };
        callbacks.configuration_read = [](base::time_point) {
        };
        callbacks.upstreams_read = [](base::time_point) {
        };
        callbacks.upstreams_unreadable = [](base::time_point) {
        };
        callbacks.store_responded = [] {
        };
        callbacks.store_failed = [this](gateway::store_failure const& it)
        {
            failures.push_back(it.reason.message);
        };
        callbacks.store_restored = [](std::uint64_t) {
        };
        callbacks.store_read = [this](membership::store_update it)
        {
            updates.push_back(std::move(it));
        };
        adapter.follow(std::move(callbacks), {[] { return base::duration(10ms); },
                                              []
                                              {
                                                  return true;
                                              }});
    }

    template <typename Condition>
    void run_until(Condition holds)
    {
        auto const until = timers.now() + 20s;
        while (!holds() && timers.now() < until)
            event_base_loop(loop.base(), EVLOOP_ONCE);
        EXPECT_TRUE(holds());
    }

    runtime::event_loop loop;
    runtime::timer_service timers{loop};
    stand_ins::keyed_topics topics{loop};
    runtime::http_server server{loop,
                                {},
                                [this](std::shared_ptr<runtime::http_exchange> const& it)
                                {
                                    topics.handle(it);
                                }};
    gateway::platform_adapter adapter;
    std::map<std::string, membership::upstream_record> listed;
    std::set<std::uint64_t> configurations;
    std::map<std::string, std::uint64_t> versions;
    std::map<std::string, int> ignored;
    std::vector<std::string> failures;
    std::vector<membership::store_update> updates;
    std::uint64_t failures_before = runtime::callback_failures();
};

// Guards against a list of upstreams that is no longer followed after an odd entry, at the start
// and later on, and against a log that repeats one entry for ever.
TEST_F(followed_store, goes_on_after_odd_entries_among_the_upstreams)
{
    auto const entries = odd_entries(sound_upstream);
    topics.put("keyed.servers", "first", sound_upstream);
    for (std::size_t i = 0; i < entries.size(); i += 7)
        topics.put("keyed.servers", "odd-" + std::to_string(i), entries[i]);
    topics.put("keyed.servers", "last", sound_upstream);
    follow();
    run_until([&] { return listed.contains("first") && listed.contains("last"); });
    for (std::size_t i = 0; i < entries.size(); ++i)
    {
        auto const name = "later-" + std::to_string(i);
        topics.put("keyed.servers", "odd", entries[i]);
        if (i % 50 != 0)
            continue;
        topics.put("keyed.servers", name, sound_upstream);
        run_until([&] { return listed.contains(name); });
    }
    topics.put("keyed.servers", "repeated", "[");
    topics.put("keyed.servers", "repeated", "[");
    topics.put("keyed.servers", "end", sound_upstream);
    run_until([&] { return listed.contains("end"); });
    EXPECT_EQ(ignored["repeated"], 1);
    EXPECT_TRUE(failures.empty()) << failures.front();
    EXPECT_EQ(runtime::callback_failures(), failures_before);
    // What is passed on to the other instances holds the sound entries.
    std::set<std::string> passed_on;
    for (auto const& update : updates)
    {
        for (auto const& it : update.records)
            passed_on.insert(it.key);
    }
    EXPECT_TRUE(passed_on.contains("end"));
}

// Guards against a version that is forgotten because a write that the store executed late replaced
// its record while no process ran, and against keeping what operators have deleted.
TEST_F(followed_store, takes_the_highest_version_that_the_log_still_holds)
{
    auto const configuration = [](int version)
    {
        return R"({"version":)" + std::to_string(version) +
               R"(,"routes":[],"services":[],"limits":{}})";
    };
    topics.put("keyed.op", "version/deleted", R"({"model":"deleted","version":9})");
    topics.put("keyed.op", "version/deleted", "");
    topics.put("keyed.op", "version/m", R"({"model":"m","version":8})");
    topics.put("keyed.op", "version/m", R"({"model":"m","version":7})");
    topics.put("keyed.op", "config", configuration(4));
    topics.put("keyed.op", "config", configuration(3));
    follow();
    run_until([&] { return versions["m"] == 8 && configurations.contains(4); });
    EXPECT_FALSE(versions.contains("deleted"));
    // Later records are followed as before.
    topics.put("keyed.op", "version/m", R"({"model":"m","version":10})");
    run_until([&] { return versions["m"] == 10; });
    EXPECT_TRUE(failures.empty()) << failures.front();
}

// Guards against older records that are not read because the oldest ones have expired, and against
// a version from so long ago that it was read for nothing.
TEST_F(followed_store, reads_the_older_records_that_have_not_expired)
{
    topics.put("keyed.op", "version/m", R"({"model":"m","version":9})");
    topics.put("keyed.op", "version/n", R"({"model":"n","version":8})");
    topics.put("keyed.op", "version/m", R"({"model":"m","version":2})");
    topics.put("keyed.op", "version/n", R"({"model":"n","version":1})");
    topics.trim("keyed.op", 1);
    follow();
    run_until([&] { return versions["n"] == 8; });
    EXPECT_EQ(versions["m"], 2U);
}

// Guards against a store that is out when a process has read the newest records, so that the older
// ones are never read.
TEST_F(followed_store, reads_the_older_records_after_an_outage)
{
    topics.put("keyed.op", "version/m", R"({"model":"m","version":8})");
    topics.put("keyed.op", "version/m", R"({"model":"m","version":7})");
    follow();
    run_until([&] { return versions["m"] == 7; });
    topics.set_fault("refuse");
    run_until([&] { return !failures.empty() || versions["m"] == 8; });
    topics.set_fault("");
    run_until([&] { return versions["m"] == 8; });
}

// Guards against a weight version that is so large that no later one is newer.
TEST_F(followed_store, goes_on_after_odd_weight_versions)
{
    topics.put("keyed.op", "version/m", R"({"model":"m","version":3})");
    follow();
    run_until([&] { return versions["m"] == 3; });
    for (auto const& it : odd_entries(R"({"model":"m","version":3})"))
        topics.put("keyed.op", "version/odd", it);
    topics.put("keyed.op", "version/m", R"({"model":"m","version":4})");
    run_until([&] { return versions["m"] == 4; });
    EXPECT_LT(versions["odd"], max_number);
    EXPECT_TRUE(failures.empty()) << failures.front();
    EXPECT_EQ(runtime::callback_failures(), failures_before);
}

} // namespace
} // namespace savorymount::tests
