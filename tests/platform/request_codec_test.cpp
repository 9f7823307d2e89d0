#include "platform/request_codec.hpp"

#include <gtest/gtest.h>

namespace savorymount::platform
{
namespace
{

using namespace std::chrono_literals;

runtime::http_head caller_head()
{
    runtime::http_head out;
    out.method = "POST";
    out.target = "/lepu270/2f?x=1";
    out.headers = {{"Host", "jepu9.example"},
                   {"X-Request-Id", "9c41d07be2a35f68"},
                   {"X-Model", "daka"},
                   {"X-Token-Count", "1460,80"},
                   {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
                   {"X-Deadline-Ms", "6000"},
                   {"Authorization", "Bearer wu3f"},
                   {"Last-Event-Id", "12"},
                   {"Connection", "keep-alive, X-Private"},
                   {"X-Private", "1"},
                   {"X-Length-Hint", "70"}};
    return out;
}

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

// Guards against lost prompt parts: requests would miss the prefix cache or use parts of another
// workspace.
TEST(request_codec, decodes_the_prompt_headers_of_a_request)
{
    base::error reason;
    auto const request = decode_request(caller_head(), reason);
    ASSERT_TRUE(request);
    EXPECT_EQ(request->id, "9c41d07be2a35f68");
    EXPECT_EQ(request->api_key, "wu3f");
    EXPECT_EQ(request->timeout, 6s);
    EXPECT_EQ(request->last_event_id, 12U);
    ASSERT_TRUE(request->prompt);
    routing::prompt_description const expected{
        "daka", {{"5c1e07a2", 800}, {"91bd3f06", 410}, {"e4402b7d", 250}}, 1460, 80};
    EXPECT_EQ(*request->prompt, expected);
}

// Guards against an API key that is forwarded to an upstream, and against reserved headers that a
// caller forges.
TEST(request_codec, removes_the_key_and_reserved_headers)
{
    auto head = caller_head();
    for (char const* name : {"X-Tenant", "X-Cache-Salt", "X-Hold", "X-Pin-Ms", "X-Prefix-Backup",
                             "Kv-From", "X-Prefix-Source", "X-Prefix-Target", "X-Request-Priority",
                             "X-Expect-Instance", "X-Expect-Version"})
        head.headers.push_back({name, "forged"});
    base::error reason;
    auto const request = decode_request(head, reason);
    ASSERT_TRUE(request);
    gateway::upstream_request upstream_request;
    upstream_request.upstream = "i-7f3a";
    upstream_request.workspace = "sese880";
    upstream_request.timeout = 5500ms;
    upstream_request.body_bytes = 3;
    auto const text = encode_upstream_request(*request, upstream_request);
    EXPECT_FALSE(contains(text, "forged"));
    EXPECT_FALSE(contains(text, "wu3f"));
    EXPECT_FALSE(contains(text, "X-Private"));
    EXPECT_FALSE(contains(text, "Last-Event-Id"));
    EXPECT_TRUE(contains(text, "POST /lepu270/2f?x=1 HTTP/1.1\r\n"));
    EXPECT_TRUE(contains(text, "\r\nX-Tenant: sese880\r\n"));
    EXPECT_TRUE(contains(text, "\r\nX-Deadline-Ms: 5500\r\n"));
    EXPECT_TRUE(contains(text, "\r\nX-Expect-Instance: i-7f3a\r\n"));
    EXPECT_TRUE(contains(text, "\r\nContent-Length: 3\r\n"));
    EXPECT_TRUE(contains(text, "\r\nX-Length-Hint: 70\r\n"));
    EXPECT_TRUE(contains(text, "\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"));
}

// Guards against an engine request without the expected weight version, cache salt or prefix
// source.
TEST(request_codec, encodes_version_salt_and_prefix_addresses_for_an_engine)
{
    base::error reason;
    auto const request = decode_request(caller_head(), reason);
    gateway::upstream_request upstream_request;
    upstream_request.priority = 1;
    upstream_request.last_event_id = 14;
    upstream_request.engine =
        gateway::engine_options{3, "daka.3", "10.0.0.1:80", "10.0.0.2:90", ""};
    auto const text = encode_upstream_request(*request, upstream_request);
    for (char const* line :
         {"X-Expect-Version: 3", "X-Cache-Salt: daka.3", "X-Prefix-Source: 10.0.0.1:80",
          "X-Prefix-Target: 10.0.0.2:90", "X-Request-Priority: 1", "Last-Event-Id: 14"})
        EXPECT_TRUE(contains(text, std::string("\r\n") + line + "\r\n")) << line;
}

// Guards against forwarding a request without an id, which every upstream rejects.
TEST(request_codec, rejects_a_request_without_an_id)
{
    auto head = caller_head();
    head.headers.erase(head.headers.begin() + 1);
    base::error reason;
    EXPECT_FALSE(decode_request(head, reason));
    EXPECT_EQ(reason.kind, base::error_kind::invalid_input);
}

// Guards against losing the counts of an upstream that also tells its pace, and against a pace that
// is made up from a broken figure.
TEST(request_codec, reads_a_load_of_three_or_four_figures)
{
    auto const load_of = [](std::string const& text)
    {
        runtime::http_head head;
        head.status = 200;
        head.headers = {{"X-Server-Load", text}};
        return decode_response_metadata(head).load;
    };
    EXPECT_EQ(load_of("3,1,8"), (routing::server_load{3, 1, 8, std::nullopt}));
    EXPECT_EQ(load_of("3,1,8,250"), (routing::server_load{3, 1, 8, 250}));
    for (char const* pace : {"", "-5", "fast", "1.5", "99999999999"})
        EXPECT_EQ(load_of(std::string("3,1,8,") + pace),
                  (routing::server_load{3, 1, 8, std::nullopt}))
            << pace;
    for (char const* text : {"", "3", "3,1", "3,1,8,100,7", "3,x,8,100"})
        EXPECT_FALSE(load_of(text)) << text;
}

// Guards against an upstream's rejection that is treated as a successful response, and against a
// response without a stamp that is trusted.
TEST(request_codec, decodes_response_metadata)
{
    runtime::http_head head;
    head.status = 503;
    head.headers = {{"X-Request-Id", "1"}, {"X-Not-Executed", "1"}, {"X-Server-Load", "3,0,8"}};
    auto const rejected = decode_response_metadata(head);
    EXPECT_TRUE(rejected.not_executed);
    EXPECT_FALSE(rejected.stamped);
    EXPECT_EQ(rejected.load, (routing::server_load{3, 0, 8, std::nullopt}));
    head.status = 421;
    head.headers = {{"X-Instance-Id", "i-02"}};
    EXPECT_TRUE(decode_response_metadata(head).misdirected);
    EXPECT_TRUE(decode_response_metadata(head).not_executed);
    head.status = 200;
    head.headers = {{"X-Response-Stamp", "3e1b"}, {"X-Weight-Versions", "4"}};
    auto const completed = decode_response_metadata(head);
    EXPECT_TRUE(completed.stamped);
    EXPECT_EQ(completed.weight_version, 4U);
    EXPECT_FALSE(completed.request_limit);
}

// Guards against a limit that is overlooked, or read into bytes that are no number.
TEST(request_codec, decodes_the_limit_that_an_upstream_names)
{
    auto const limit_in = [](std::string const& text)
    {
        runtime::http_head head;
        head.headers = {{"server-limit", text}};
        return decode_response_metadata(head).request_limit;
    };
    EXPECT_EQ(limit_in("1"), 1.0);
    EXPECT_EQ(limit_in("1.3"), 1.3);
    EXPECT_EQ(limit_in("0"), 0.0);
    for (char const* invalid : {"", "-1", "inf", "nan", "1e400", "1 a second", "0x10"})
        EXPECT_FALSE(limit_in(invalid)) << invalid;
}

// Guards against an upstream that gets requests although it said that it leaves.
TEST(request_codec, decodes_that_an_upstream_leaves)
{
    runtime::http_head head;
    EXPECT_FALSE(decode_response_metadata(head).leaving);
    head.headers = {{"server-leaving", "1"}};
    EXPECT_TRUE(decode_response_metadata(head).leaving);
    head.headers = {{"Server-Leaving", "0"}};
    EXPECT_FALSE(decode_response_metadata(head).leaving);
}

// Guards against a time that is overlooked, read from another status, or read into what is none.
TEST(request_codec, decodes_how_long_an_upstream_wants_no_request)
{
    using namespace std::chrono_literals;
    auto const time_in = [](int status, std::string const& text)
    {
        runtime::http_head head;
        head.status = status;
        head.headers = {{"retry-after", text}};
        return decode_response_metadata(head).unavailable_for;
    };
    EXPECT_EQ(time_in(503, "2"), base::duration(2s));
    EXPECT_EQ(time_in(503, "0.25"), base::duration(250ms));
    EXPECT_EQ(time_in(503, "1e9"), std::nullopt);
    EXPECT_EQ(time_in(503, "999999999"), base::duration(1h));
    EXPECT_EQ(time_in(429, "2"), std::nullopt);
    for (char const* invalid : {"", "-1", "inf", "soon", "Sat, 05 Dec 2026 00:00:00 GMT"})
        EXPECT_FALSE(time_in(503, invalid)) << invalid;
}

} // namespace
} // namespace savorymount::platform
