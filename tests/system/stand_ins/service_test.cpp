#include <gtest/gtest.h>

#include <tests/system/support/http_client.hpp>
#include <tests/system/support/program.hpp>

namespace savorymount::tests
{
namespace
{

using nlohmann::json;

class service_stand_in : public testing::Test
{
protected:
    http_response book(std::string const& id)
    {
        return client.post(port, "/bookings", {{"bath", 3}}, {{"x-request-id", id}});
    }

    program service{"savorymount-service-stand-in", {}};
    http_client client;
    std::uint16_t port = service.read_port();
};

// Guards against a count that misses a second execution of the same request.
TEST_F(service_stand_in, executions_are_counted_by_request)
{
    EXPECT_EQ(book("a").content(), json({{"booking", 1}, {"request", "a"}}));
    EXPECT_EQ(book("b").content(), json({{"booking", 2}, {"request", "b"}}));
    EXPECT_EQ(book("a").content(), json({{"booking", 3}, {"request", "a"}}));
    EXPECT_EQ(client.get(port, "/executions"), json({{"a", 2}, {"b", 1}}));
    EXPECT_EQ(client.get(port, "/bookings/2").at("request"), "b");
    EXPECT_EQ(client.fetch(port, "GET", "/bookings/4").status, 404);
}

// Guards against a lost response that is mistaken for a request that did not run.
TEST_F(service_stand_in, drop_modes_differ_in_whether_the_request_ran)
{
    client.post(port, "/control", {{"drop", "before"}});
    EXPECT_TRUE(book("before").failure);
    client.post(port, "/control", {{"drop", "after"}});
    EXPECT_TRUE(book("after").failure);
    client.post(port, "/control", {{"drop", "none"}, {"delay_ms", 1}});
    EXPECT_EQ(book("whole").status, 200);
    EXPECT_EQ(client.get(port, "/executions"), json({{"after", 1}, {"whole", 1}}));
}

// Guards against a leaked key that tests can't see because headers are not recorded.
TEST_F(service_stand_in, headers_of_requests_are_recorded)
{
    book("a");
    auto const seen = client.get(port, "/headers").at("requests");
    ASSERT_EQ(seen.size(), 1U);
    EXPECT_EQ(seen[0].at("target"), "/bookings");
    bool found = false;
    for (auto const& it : seen[0].at("headers"))
        found = found || it == json({{"name", "x-request-id"}, {"value", "a"}});
    EXPECT_TRUE(found);
}

// Guards against a crash that still answers.
TEST_F(service_stand_in, crash_ends_the_process_without_a_response)
{
    EXPECT_TRUE(client.post(port, "/control", {{"crash", true}}).failure);
    EXPECT_EQ(service.wait(), 1);
}

} // namespace
} // namespace savorymount::tests
