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

} // namespace
} // namespace savorymount::tests
