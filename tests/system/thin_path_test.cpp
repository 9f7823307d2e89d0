#include <gtest/gtest.h>

#include <tests/system/support/deployment.hpp>

namespace savorymount::tests
{
namespace
{

// Guards against a path that breaks between the processes: a caller's prompt must come back whole
// through entry, agent and engine, streamed and not, and a booking must run exactly once.
TEST(thin_path, serves_prompts_streams_and_bookings)
{
    deployment system({});
    auto const plain = system.prompt(0, "large", {"house rules", "client"}, false);
    auto const streamed = system.prompt(1, "small", {"house rules", "client"}, true);
    system.client().wait({plain, streamed});
    EXPECT_EQ(plain->status, 200) << plain->body;
    EXPECT_EQ(plain->json()["usage"]["completion_tokens"], 8);
    EXPECT_EQ(streamed->status, 200) << streamed->body;
    EXPECT_TRUE(streamed->whole);
    EXPECT_TRUE(streamed->body.ends_with("data: [DONE]\n\n")) << streamed->body;
    auto const booking = system.book(0, "small");
    system.client().wait({booking});
    auto const id = booking->header("x-savorymount-request-id");
    ASSERT_FALSE(id.empty()) << booking->body;
    EXPECT_EQ(system.executions()[id], 1U);
}

// Guards against work without a valid key, and against keys that reach an upstream.
TEST(thin_path, refuses_wrong_keys_and_hides_valid_ones)
{
    deployment system({.engines = 1, .services = 1, .entries = 1});
    auto& client = system.client();
    auto const absent = client.request(system.entry(0), "POST", "/bookings", {}, "{}");
    EXPECT_EQ(absent.status, 401);
    EXPECT_EQ(absent.header("x-savorymount-execution"), "not_run");
    auto const wrong = client.request(system.entry(0), "POST", "/bookings",
                                      {{"x-api-key", system.key("large") + "0"}}, "{}");
    EXPECT_EQ(wrong.status, 401);
    auto const key = system.key("large");
    auto const booked = client.request(system.entry(0), "POST", "/bookings?api_key=" + key,
                                       {{"cookie", "a=b; key=" + key}, {"x-custom", key}}, "{}");
    EXPECT_EQ(booked.status / 100, 2) << booked.body;
    auto const seen = client.request(system.services[0].upstream_address, "GET", "/headers").body;
    EXPECT_EQ(seen.find(key), std::string::npos);
    EXPECT_EQ(seen.find(key.substr(key.rfind('_') + 1)), std::string::npos);
}

} // namespace
} // namespace savorymount::tests
