#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <tests/libraries/runtime/scripted_server.hpp>
#include <tests/platform/request_harness.hpp>
#include <vector>

namespace savorymount::tests
{
namespace
{

using afterwards = scripted_server::afterwards;

std::string answer(std::string const& id, std::string const& status, std::string const& fields)
{
    return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + id + "\r\n" + fields +
           "Content-Length: 2\r\n\r\n{}";
}

std::string success(std::string const& id)
{
    return answer(id, "200 OK", "X-Response-Stamp: s\r\n");
}

std::string rejection(std::string const& id)
{
    return answer(id, "503 Service Unavailable", "X-Not-Executed: 1\r\n");
}

std::vector<std::unique_ptr<raw_client>> send_at_once(request_harness& system, std::size_t count)
{
    std::vector<std::unique_ptr<raw_client>> out;
    for (std::size_t i = 0; i < count; ++i)
        out.push_back(system.send("/safe/ask", "r"));
    return out;
}

void expect_abandoned(gateway::request_outcome const& it)
{
    EXPECT_EQ(it.end, gateway::request_end::abandoned) << it.reason;
}

// Guards against a busy instance that reads requests whose callers have left and sends them on.
TEST(caller_left, requests_that_waited_unread_are_not_sent)
{
    constexpr std::size_t callers = 100;
    request_harness system;
    std::vector<std::string> answers;
    for (std::size_t i = 0; i < 2 * callers; ++i)
        answers.push_back(success("r"));
    scripted_server upstream(system.loop, answers, afterwards::keep);
    system.add_upstream("desk-1", "desk", upstream.address());
    auto const warm_up = send_at_once(system, callers);
    system.run_until_ended(callers);
    auto const sent_before = upstream.requests();
    std::vector<std::unique_ptr<raw_client>> waiting;
    for (std::size_t i = 0; i < callers; ++i)
        waiting.push_back(system.connect());
    system.run_until(
        [&] { return std::ranges::all_of(waiting, [](auto const& it) { return it->connected; }); });
    for (auto const& it : waiting)
    {
        it->write_now(request_harness::request("/safe/ask", "r"));
        it->leave();
    }
    system.run_until_ended(2 * callers);
    for (std::size_t i = callers; i < 2 * callers; ++i)
        expect_abandoned(system.outcomes[i]);
    EXPECT_EQ(upstream.requests(), sent_before);
}

// Guards against a retry for a caller whose end of the connection has arrived and was not handled.
TEST(caller_left, a_rejected_request_is_not_sent_to_another_upstream)
{
    request_harness system;
    scripted_server full(system.loop, {rejection("r"), success("r")}, afterwards::keep);
    scripted_server other(system.loop, {rejection("r"), success("r")}, afterwards::keep);
    system.add_upstream("desk-1", "desk", full.address());
    system.add_upstream("desk-2", "desk", other.address());
    auto const caller = system.send("/safe/ask", "r");
    auto const decode = system.platform.decode_response_metadata;
    system.platform.decode_response_metadata = [&](runtime::http_head const& head)
    {
        caller->leave();
        return decode(head);
    };
    system.run_until_ended(1);
    expect_abandoned(system.outcomes[0]);
    EXPECT_EQ(full.requests() + other.requests(), 1U);
}

// Guards against a request that is written to a new connection after its caller has left.
TEST(caller_left, a_request_is_not_sent_when_its_connection_opens)
{
    request_harness system;
    scripted_server upstream(system.loop, {success("r")}, afterwards::keep);
    system.add_upstream("desk-1", "desk", upstream.address());
    auto const caller = system.send("/safe/ask", "r");
    auto const encode = system.platform.encode_upstream_request;
    system.platform.encode_upstream_request = [&](gateway::caller_request const& request,
                                                  gateway::upstream_request const& upstream_request)
    {
        caller->leave();
        return encode(request, upstream_request);
    };
    system.run_until_ended(1);
    expect_abandoned(system.outcomes[0]);
    EXPECT_EQ(upstream.requests(), 0U);
}

} // namespace
} // namespace savorymount::tests
