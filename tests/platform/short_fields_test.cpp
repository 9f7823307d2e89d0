#include <gtest/gtest.h>

#include <tests/libraries/runtime/scripted_server.hpp>
#include <tests/platform/request_harness.hpp>

namespace savorymount::tests
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t head_bytes = 16'000;
constexpr std::size_t crowd_size = 200;

std::string repeated_until(std::string const& beginning, std::string const& piece)
{
    auto out = beginning;
    while (out.size() < head_bytes)
        out += piece;
    return out;
}

std::string request_with(std::string const& id, std::string const& fields)
{
    return "POST /unsafe/book HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\n" +
           fields + "Content-Length: 2\r\n\r\n{}";
}

// Guards against the sum of what running requests keep of their heads: a client chooses the number
// of prompt parts, each of which takes far more memory than its bytes.
TEST(short_fields, requests_of_many_prompt_parts_are_refused_beyond_the_memory_for_heads)
{
    request_harness system;
    scripted_server silent(system.loop, {}, scripted_server::afterwards::keep);
    system.add_upstream("silent", "desk", silent.address());
    auto const parts =
        repeated_until("X-Token-Count: 300,8\r\nX-Prompt-Prefix: 1:1", ",1:1") + "\r\n";
    std::vector<std::unique_ptr<raw_client>> crowd;
    for (std::size_t i = 0; i < crowd_size; ++i)
    {
        crowd.push_back(system.connect());
        crowd.back()->send(request_with("r" + std::to_string(i), parts));
    }
    constexpr std::size_t refused = 100;
    system.run_until_ended(refused);
    for (auto const& it : system.outcomes)
    {
        EXPECT_EQ(it.end, gateway::request_end::refused);
        EXPECT_EQ(it.status, 503) << it.reason;
    }
    // An ordinary request goes on to the upstream.
    auto const before = system.cluster.upstreams().find("silent")->local_use.requests;
    auto const ordinary = system.send("/unsafe/book", "ordinary");
    system.run_until(
        [&] { return system.cluster.upstreams().find("silent")->local_use.requests > before; });
}

// Guards against fields that each take two strings while their request runs.
TEST(short_fields, a_running_request_keeps_its_fields_in_about_their_bytes)
{
    runtime::http_head head;
    head.method = "POST";
    head.target = "/";
    head.headers = {{"Host", "h"}, {"X-Request-Id", "r"}};
    while (head.headers.size() < 2'000)
        head.headers.push_back({"a", "b"});
    base::error reason;
    auto const request = platform::decode_request(head, reason);
    ASSERT_TRUE(request);
    EXPECT_LE(gateway::memory_of(*request), 2'100 * std::string_view("a: b\r\n").size());
    auto const sent = platform::encode_upstream_request(*request, {});
    EXPECT_NE(sent.find("\r\na: b\r\na: b\r\n"), std::string::npos);
}

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
