#include <gtest/gtest.h>

#include <memory>
#include <tests/libraries/runtime/scripted_server.hpp>
#include <tests/platform/request_harness.hpp>

namespace savorymount::tests
{
namespace
{

using afterwards = scripted_server::afterwards;

std::string response(std::string const& status, std::string const& fields, std::string const& body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string refusal(std::string const& fields)
{
    return response("503 Service Unavailable", fields + "X-Not-Executed: 1\r\n", "");
}

std::string success(std::string const& id)
{
    return response("200 OK", "X-Request-Id: " + id + "\r\nX-Response-Stamp: s\r\n", "{}");
}

std::string broken_stream(std::string const& id)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + id +
           "\r\nX-Response-Stamp: s\r\nContent-Length: 100000\r\n\r\nid: 1\ndata: token\n\n";
}

// Guards against a caller that is told to send a request again which an upstream runs, because the
// upstream wrote an earlier refusal once more.
TEST(misplaced_response, a_refusal_of_an_earlier_request_is_not_taken_for_the_present_one)
{
    request_harness system;
    auto const earlier = refusal("X-Request-Id: first\r\n");
    scripted_server upstream(system.loop, {earlier, earlier + success("second")}, afterwards::keep);
    system.add_upstream("desk-1", "desk", upstream.address());
    auto const first = system.send("/unsafe/book", "first");
    system.run_until_ended(1);
    EXPECT_EQ(system.outcomes[0].status, 503);
    auto const second = system.send("/unsafe/book", "second");
    system.run_until_ended(2);
    EXPECT_EQ(upstream.connections(), 1U);
    EXPECT_EQ(system.outcomes[1].status, 200);
}

// Guards against the same with a refusal that names no request: on a kept connection nothing shows
// which request it answers, so the present one may have run.
TEST(misplaced_response, a_refusal_without_an_id_on_a_kept_connection_says_nothing)
{
    request_harness system;
    scripted_server upstream(system.loop, {refusal("X-Request-Id: first\r\n"), refusal("")},
                             afterwards::keep);
    scripted_server other(system.loop, {success("second")}, afterwards::keep);
    system.add_upstream("desk-1", "desk", upstream.address());
    auto const first = system.send("/unsafe/book", "first");
    system.run_until_ended(1);
    auto const second = system.send("/unsafe/book", "second");
    system.run_until([&] { return upstream.requests() == 2; });
    system.add_upstream("desk-2", "desk", other.address());
    system.run_until_ended(2);
    EXPECT_EQ(upstream.connections(), 1U);
    EXPECT_EQ(system.outcomes[1].status, 502);
    EXPECT_EQ(system.outcomes[1].end, gateway::request_end::failed);
    EXPECT_EQ(other.requests(), 0U);
}

// Guards against a refusal that is not believed although no earlier request can have caused it.
TEST(misplaced_response, a_refusal_without_an_id_on_a_new_connection_is_believed)
{
    request_harness system;
    scripted_server upstream(system.loop, {refusal("")}, afterwards::keep);
    system.add_upstream("desk-1", "desk", upstream.address());
    auto const caller = system.send("/unsafe/book", "first");
    system.run_until_ended(1);
    EXPECT_EQ(system.outcomes[0].status, 503);
    EXPECT_EQ(system.outcomes[0].end, gateway::request_end::refused);
}

// Guards against the text of an error in the middle of a stream, and against a stream that ends as
// if it were complete, when the next upstream answers with something else than the stream.
TEST(misplaced_response, a_stream_that_broke_off_contains_nothing_but_its_events)
{
    auto const authentic = std::string("X-Request-Id: r\r\nX-Response-Stamp: s\r\n");
    auto const json = authentic + "Content-Type: application/json\r\n";
    auto const text = authentic + "Content-Type: text/plain\r\n";
    for (auto const& answer :
         {response("500 Internal Server Error", text, "oops\n\n"),
          response("404 Not Found", json, "{\"error\":\"oops\"}\n\n"),
          response("200 OK", json, "{\"error\":\"oops\"}\n\n"),
          response("200 OK", text, "oops\n\noops\n\n"),
          response("200 OK", "Content-Type: text/event-stream\r\n", "id: 2\ndata: oops\n\n")})
    {
        request_harness system;
        scripted_server broken(system.loop, {broken_stream("r")}, afterwards::reset);
        scripted_server next(system.loop, {answer}, afterwards::keep);
        system.add_upstream("broken", "engines", broken.address());
        auto const caller = system.send("/stream/ask", "r");
        system.run_until([&] { return broken.connections() > 0; });
        system.add_upstream("next", "engines", next.address());
        system.run_until_ended(1);
        EXPECT_EQ(next.requests(), 1U) << answer;
        EXPECT_EQ(system.outcomes[0].end, gateway::request_end::failed) << answer;
        system.run_until([&] { return caller->closed; });
        EXPECT_EQ(caller->received.find("oops"), std::string::npos) << answer;
        EXPECT_EQ(caller->received.find("\r\n0\r\n\r\n"), std::string::npos) << answer;
    }
}

} // namespace
} // namespace savorymount::tests
