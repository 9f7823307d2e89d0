#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <optional>
#include <tests/system/support/http_client.hpp>
#include <tests/system/support/program.hpp>

namespace savorymount::tests
{
namespace
{

using nlohmann::json;

constexpr std::size_t block_bytes = 16;

class engine_stand_in : public testing::Test
{
protected:
    void start(std::map<std::string, std::string> const& changes = {})
    {
        std::map<std::string, std::string> values{{"--block-tokens", "4"},
                                                  {"--token-ms", "0"},
                                                  {"--prefill-ms-per-block", "0"},
                                                  {"--event-lag-ms", "0"},
                                                  {"--load-lag-ms", "0"}};
        for (auto const& it : changes)
            values[it.first] = it.second;
        std::vector<std::string> arguments;
        for (auto const& it : values)
        {
            arguments.push_back(it.first);
            arguments.push_back(it.second);
        }
        engine.emplace("savorymount-engine-stand-in", arguments);
        port = engine->read_port();
    }

    static json body(std::string const& text, std::string const& salt = "s", int tokens = 3)
    {
        return {{"model", "m"},
                {"cache_salt", salt},
                {"max_tokens", tokens},
                {"messages", {{{"role", "user"}, {"content", text}}}}};
    }

    static json streamed(json wanted)
    {
        wanted["stream"] = true;
        return wanted;
    }

    http_response complete(json const& wanted, runtime::http_headers const& headers = {})
    {
        return client.post(port, "/v1/chat/completions", wanted, headers);
    }

    int cached_tokens(std::string const& text, std::string const& salt = "s")
    {
        return complete(body(text, salt))
            .content()
            .at("usage")
            .at("prompt_tokens_details")
            .at("cached_tokens");
    }

    std::string answer(std::string const& text)
    {
        return complete(body(text)).content().at("choices")[0].at("message").at("content");
    }

    json events(int after = 0)
    {
        return client.get(port, "/cache/events?after=" + std::to_string(after));
    }

    void control(json const& wanted)
    {
        ASSERT_EQ(client.post(port, "/control", wanted).status, 200) << wanted;
    }

    static std::string blocks(std::string const& letters)
    {
        std::string out;
        for (char const it : letters)
            out += std::string(block_bytes, it);
        return out;
    }

    std::optional<program> engine;
    http_client client;
    std::uint16_t port = 0;
};

/// The data of each server-sent event, and the ids.
struct parsed_stream
{
    std::vector<std::string> ids;
    std::vector<std::string> data;
};

parsed_stream parse_stream(std::string const& text)
{
    parsed_stream out;
    std::size_t start = 0;
    while (start < text.size())
    {
        std::size_t const end = std::min(text.find('\n', start), text.size());
        std::string const line = text.substr(start, end - start);
        if (line.rfind("id: ", 0) == 0)
            out.ids.push_back(line.substr(4));
        if (line.rfind("data: ", 0) == 0)
            out.data.push_back(line.substr(6));
        start = end + 1;
    }
    return out;
}

// Guards against a stream without positions, usage or end, on which promise 2 is tested.
TEST_F(engine_stand_in, stream_has_positions_usage_and_end)
{
    start();
    auto const out = complete(streamed(body("hello world!")));
    EXPECT_FALSE(out.failure);
    EXPECT_EQ(runtime::find_header(out.headers, "content-type"), "text/event-stream");
    auto const stream = parse_stream(out.body);
    EXPECT_EQ(stream.ids, (std::vector<std::string>{"0", "1", "2", "3"}));
    ASSERT_EQ(stream.data.size(), 5U);
    EXPECT_EQ(stream.data[4], "[DONE]");
    auto const usage = json::parse(stream.data[3]).at("usage");
    EXPECT_EQ(usage.at("prompt_tokens"), 3);
    EXPECT_EQ(usage.at("completion_tokens"), 3);
    std::string text;
    for (int i = 0; i < 3; ++i)
        text += json::parse(stream.data[static_cast<std::size_t>(i)])
                    .at("choices")[0]
                    .at("delta")
                    .at("content");
    EXPECT_EQ(text, answer("hello world!"));
    EXPECT_NE(text, answer("another prompt"));
}

// Guards against a resumed stream that repeats or skips tokens.
TEST_F(engine_stand_in, resumed_stream_continues_at_its_position)
{
    start();
    auto const whole = parse_stream(complete(streamed(body("hello"))).body);
    auto const rest =
        parse_stream(complete(streamed(body("hello")), {{"x-resume-from", "2"}}).body);
    EXPECT_EQ(rest.ids, (std::vector<std::string>{"2", "3"}));
    ASSERT_EQ(rest.data.size(), 3U);
    EXPECT_EQ(rest.data[0], whole.data[2]);
}

// Guards against a broken stream that looks like a normal end.
TEST_F(engine_stand_in, broken_stream_ends_without_done)
{
    start();
    control({{"break_stream_after", 2}});
    auto const out = complete(streamed(body("hello")));
    EXPECT_TRUE(out.failure);
    EXPECT_EQ(parse_stream(out.body).ids, (std::vector<std::string>{"0", "1"}));
    EXPECT_FALSE(complete(streamed(body("hello"))).failure);
}

// Guards against a cache that counts blocks after a hole, or blocks of another salt.
TEST_F(engine_stand_in, cached_tokens_cover_the_common_prefix_of_one_salt)
{
    start();
    EXPECT_EQ(cached_tokens(blocks("abc")), 0);
    EXPECT_EQ(cached_tokens(blocks("abc")), 12);
    EXPECT_EQ(cached_tokens(blocks("abd")), 8);
    EXPECT_EQ(cached_tokens(blocks("xbc")), 0);
    EXPECT_EQ(cached_tokens(blocks("ab") + "partial"), 8);
    EXPECT_EQ(cached_tokens(blocks("abc"), "other salt"), 0);
    control({{"clear_cache", true}});
    EXPECT_EQ(cached_tokens(blocks("abc")), 0);
}

// Guards against a cache without a bound, or one that evicts the hottest or the first blocks.
TEST_F(engine_stand_in, least_recently_used_blocks_are_evicted)
{
    start({{"--cache-blocks", "4"}});
    cached_tokens(blocks("ab"));
    cached_tokens(blocks("xy"));
    EXPECT_EQ(cached_tokens(blocks("ab")), 8);
    cached_tokens(blocks("p"));
    EXPECT_EQ(client.get(port, "/load").at("cached_blocks"), 4);
    EXPECT_EQ(cached_tokens(blocks("ab")), 8);
    // One of the two blocks of the older prompt is gone, and it is not the first.
    EXPECT_EQ(cached_tokens(blocks("x")), 4);
}

// Guards against an event feed that misses stores or evictions.
TEST_F(engine_stand_in, events_tell_stores_and_evictions)
{
    start({{"--cache-blocks", "2"}});
    complete(body(blocks("ab")), {{"x-request-id", "first"}});
    auto const stored = events();
    ASSERT_EQ(stored.at("events").size(), 2U);
    EXPECT_EQ(stored.at("first"), 1);
    EXPECT_EQ(stored.at("next"), 3);
    EXPECT_EQ(stored.at("events")[1].at("kind"), "stored");
    EXPECT_EQ(stored.at("events")[1].at("request"), "first");
    EXPECT_EQ(stored.at("events")[1].at("index"), 1);
    complete(body(blocks("c")), {{"x-request-id", "second"}});
    auto const later = events(2).at("events");
    ASSERT_EQ(later.size(), 2U);
    EXPECT_EQ(later[0].at("kind"), "evicted");
    // The last block of a prompt goes first; without it, the earlier ones are still of use.
    EXPECT_EQ(later[0].at("block"), stored.at("events")[1].at("block"));
    EXPECT_EQ(later[1].at("kind"), "stored");
}

// Guards against lost events whose loss the reader can't see.
TEST_F(engine_stand_in, lost_events_leave_a_gap_in_the_sequence)
{
    start();
    control({{"drop_events", 1}});
    complete(body(blocks("ab")));
    auto const out = events();
    ASSERT_EQ(out.at("events").size(), 1U);
    EXPECT_EQ(out.at("events")[0].at("sequence"), 2);
    EXPECT_EQ(out.at("next"), 3);
}

// Guards against events and load reports that are always fresh, unlike those of real engines.
TEST_F(engine_stand_in, late_reports_show_nothing_at_first)
{
    start({{"--event-lag-ms", "3600000"}, {"--load-lag-ms", "3600000"}});
    complete(body(blocks("ab")));
    EXPECT_TRUE(events().at("events").empty());
    EXPECT_EQ(client.get(port, "/load").at("cached_blocks"), 0);
}

// Guards against requests that run beyond the slots, and against ignored priorities.
TEST_F(engine_stand_in, waiting_requests_run_by_priority)
{
    start({{"--slots", "1"}});
    control({{"token_ms", 20}});
    auto const begin = [&](std::string const& id, std::string const& priority)
    {
        return client.start(port, "POST", "/v1/chat/completions", streamed(body("hello")).dump(),
                            {{"x-request-id", id}, {"x-priority", priority}});
    };
    auto const first = begin("first", "0");
    client.run_until([&] { return first.response->status == 200; });
    auto const low = begin("low", "1");
    client.run_until([&] { return client.get(port, "/load").at("waiting") == 1; });
    auto const high = begin("high", "2");
    client.run_until([&] { return client.get(port, "/load").at("waiting") == 2; });
    client.run_until([&] { return high.response->status == 200; });
    EXPECT_EQ(low.response->status, 0);
    client.run_until([&] { return low.response->done; });
    EXPECT_FALSE(low.response->failure);
}

// Guards against cancelled requests, or those of callers that left, that keep their slot.
TEST_F(engine_stand_in, cancelled_and_abandoned_requests_free_their_slots)
{
    start();
    auto const begin = [&](std::string const& id)
    {
        return client.start(port, "POST", "/v1/chat/completions",
                            streamed(body("hello", "s", 1'000'000'000)).dump(),
                            {{"x-request-id", id}});
    };
    auto const cancelled = begin("a");
    auto abandoned = begin("b");
    client.run_until([&] { return client.get(port, "/load").at("running") == 2; });
    EXPECT_EQ(client.fetch(port, "DELETE", "/v1/requests/a").status, 200);
    EXPECT_EQ(client.fetch(port, "DELETE", "/v1/requests/a").status, 404);
    client.run_until([&] { return cancelled.response->done; });
    EXPECT_TRUE(cancelled.response->failure);
    abandoned.call.reset();
    client.run_until([&] { return client.get(port, "/load").at("running") == 0; });
}

// Guards against an engine that serves models it has not loaded, or obeys a stale commander.
TEST_F(engine_stand_in, orders_change_models_and_respect_fencing_tokens)
{
    start();
    auto const order = [&](std::string const& kind, std::string const& version, int fence)
    {
        return client
            .post(port, "/orders",
                  {{"kind", kind}, {"model", "m"}, {"version", version}, {"fence", fence}})
            .status;
    };
    EXPECT_EQ(order("load", "2", 7), 200);
    client.run_until([&] { return client.get(port, "/load").at("models").size() == 2; });
    EXPECT_EQ(order("unload", "1", 6), 409);
    EXPECT_EQ(client.get(port, "/load").at("models").size(), 2U);
    EXPECT_EQ(order("unload", "1", 7), 200);
    json wanted = body("hello");
    wanted["version"] = "1";
    EXPECT_EQ(complete(wanted).status, 404);
    wanted["version"] = "2";
    EXPECT_EQ(complete(wanted).status, 200);
    EXPECT_EQ(order("dance", "1", 8), 400);
}

// Guards against tests that can't tell engines that ignore fencing tokens from those that check.
TEST_F(engine_stand_in, fencing_is_ignored_when_so_configured)
{
    start({{"--checks-fencing", "false"}});
    for (int const fence : {7, 6})
        EXPECT_EQ(
            client.post(port, "/orders", {{"kind", "role"}, {"role", "decode"}, {"fence", fence}})
                .status,
            200);
    EXPECT_EQ(client.get(port, "/load").at("role"), "decode");
}

// Guards against loads that ignore a busy weight store.
TEST_F(engine_stand_in, load_waits_for_the_weight_store)
{
    program platform("savorymount-platform-stand-in",
                     {"--weights-per-second", "1", "--weights-ms", "0"});
    std::uint16_t const weights = platform.read_port();
    ASSERT_EQ(client.fetch(weights, "GET", "/weights/m/1").status, 200);
    start({{"--weights", "127.0.0.1:" + std::to_string(weights)}, {"--load-ms", "0"}});
    client.post(port, "/orders", {{"kind", "load"}, {"model", "m"}, {"version", "2"}});
    EXPECT_EQ(client.get(port, "/load").at("loading").size(), 1U);
    client.run_until([&] { return client.get(port, "/load").at("models").size() == 2; });
    EXPECT_TRUE(client.get(port, "/load").at("loading").empty());
}

// Guards against an import that does not count as cached.
TEST_F(engine_stand_in, exported_block_can_be_imported_elsewhere)
{
    start();
    complete(body(blocks("a")));
    std::string const block = events().at("events")[0].at("block");
    auto const exported = client.fetch(port, "GET", "/kv/" + block);
    EXPECT_EQ(exported.status, 200);
    EXPECT_EQ(client.fetch(port, "GET", "/kv/0123456789abcdef").status, 404);
    program other("savorymount-engine-stand-in", {"--block-tokens", "4", "--event-lag-ms", "0"});
    std::uint16_t const source = std::exchange(port, other.read_port());
    EXPECT_NE(source, port);
    EXPECT_EQ(client.fetch(port, "PUT", "/kv/" + block, exported.body).status, 200);
    EXPECT_EQ(cached_tokens(blocks("a")), 4);
    EXPECT_EQ(events().at("events")[0].at("block"), block);
}

// Guards against a crash that answers, and against a restart under the same process id string.
TEST_F(engine_stand_in, crash_on_text_ends_the_process_and_a_restart_is_empty)
{
    start();
    cached_tokens(blocks("a"));
    std::string const before = client.get(port, "/health").at("engine");
    control({{"crash_on_text", "poison"}});
    EXPECT_TRUE(complete(body("some poison here")).failure);
    EXPECT_EQ(engine->wait(), 1);
    start();
    EXPECT_NE(client.get(port, "/health").at("engine"), before);
    EXPECT_EQ(cached_tokens(blocks("a")), 0);
}

// Guards against a frozen engine that goes on answering.
TEST_F(engine_stand_in, frozen_engine_answers_only_afterwards)
{
    start();
    control({{"freeze_ms", 300}});
    // The freeze begins shortly after the order is answered. No response may arrive while it lasts,
    // so that one response takes about as long as the freeze.
    auto const slow_response = [&]
    {
        auto const before = std::chrono::steady_clock::now();
        EXPECT_EQ(client.fetch(port, "GET", "/health").status, 200);
        return std::chrono::steady_clock::now() - before > std::chrono::milliseconds(200);
    };
    client.run_until(slow_response);
}

// Guards against malformed input that stops the engine.
TEST_F(engine_stand_in, malformed_requests_are_refused)
{
    start();
    for (std::string const text : {"", "[]", "{}", R"({"model":"m","messages":[{"content":1}]})"})
        EXPECT_EQ(client.fetch(port, "POST", "/v1/chat/completions", text).status, 400) << text;
    EXPECT_EQ(client.fetch(port, "POST", "/orders", R"({"fence":"x"})").status, 400);
    EXPECT_EQ(client.fetch(port, "GET", "/kv/zz").status, 404);
    EXPECT_EQ(client.post(port, "/control", {{"token_ms", "soon"}}).status, 400);
}

} // namespace
} // namespace savorymount::tests
