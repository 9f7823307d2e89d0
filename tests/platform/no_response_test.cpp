#include "platform/cache_follower.hpp"
#include "platform/engine_client.hpp"
#include "platform/store_client.hpp"

#include <gtest/gtest.h>

#include <tests/libraries/runtime/half_closing_server.hpp>
#include <tests/libraries/runtime/odd_responses.hpp>
#include <tests/libraries/runtime/scripted_server.hpp>
#include <tests/platform/request_harness.hpp>

namespace savorymount::tests
{
namespace
{

using namespace std::chrono_literals;
using afterwards = scripted_server::afterwards;

std::string const stamped_fields = "X-Request-Id: r\r\nX-Response-Stamp: s\r\n";

// Guards against bytes of an upstream in trouble that a caller gets as an answer.
TEST(no_response, callers_get_502_for_what_is_no_response)
{
    for (char const* const target : {"/unsafe/book", "/stream/chat", "/safe/find"})
    {
        for (auto const& it : odd_responses(stamped_fields))
        {
            request_harness system;
            scripted_server server(system.loop, {it.text}, afterwards::keep);
            system.add_upstream("odd", target[1] == 's' && target[2] == 't' ? "engines" : "desk",
                                server.address());
            auto const caller = system.send(target, "r");
            system.run_until_ended(1);
            EXPECT_EQ(system.outcomes[0].end, gateway::request_end::failed) << it.name << target;
            EXPECT_EQ(system.outcomes[0].status, 502) << it.name << target;
            system.run_until([&] { return !caller->received.empty(); });
            EXPECT_EQ(caller->received.find("HTTP/1.1 2"), std::string::npos) << it.name << target;
        }
    }
}

/// What one of the gateway's own calls made of each odd response.
class own_call : public testing::Test
{
protected:
    /// Makes the call once for each response; `call` tells through its argument whether the
    /// response was taken.
    void
    expect_refused(std::function<void(scripted_server&, std::function<void(bool)>)> const& call)
    {
        for (auto const& it : odd_responses(""))
        {
            scripted_server server(loop, {it.text}, afterwards::keep);
            std::optional<bool> taken;
            call(server, [&](bool result) { taken = result; });
            while (!taken)
                event_base_loop(loop.base(), EVLOOP_ONCE);
            EXPECT_FALSE(*taken) << it.name;
        }
    }

    runtime::event_loop loop;
    runtime::timer_service timers{loop};
    runtime::outbound_client client{loop, timers};
};

// Guards against an order that counts as accepted, or impossible, by bytes that are no response.
TEST_F(own_call, orders_stay_unanswered)
{
    platform::engine_client engines(client);
    expect_refused(
        [&](scripted_server& server, auto const& done)
        {
            orders::weight_order order;
            order.address = to_string(server.address());
            engines.send_order(
                order, "leader", [] { return true; },
                [done](orders::order_outcome it, base::error const&)
                { done(it != orders::order_outcome::invalid_answer); });
        });
}

// Guards against a report, a list, a page or an event that is read from bytes that are no response.
TEST_F(own_call, reports_and_reads_of_the_stores_fail)
{
    platform::engine_client engines(client);
    expect_refused(
        [&](scripted_server& server, auto const& done)
        {
            engines.read_report(to_string(server.address()),
                                [done](auto const& it, auto const&) { done(it.has_value()); });
        });
    std::unique_ptr<platform::store_client> store;
    expect_refused(
        [&](scripted_server& server, auto const& done)
        {
            store = std::make_unique<platform::store_client>(client, server.address());
            store->append("keyed.t", "k", "v", std::nullopt,
                          [done](platform::append_result const& it)
                          { done(it.outcome != gateway::append_outcome::unknown); });
        });
    expect_refused(
        [&](scripted_server& server, auto const& done)
        {
            runtime::outbound_request const request{server.address(), "GET", "/", {}, {}, 5s};
            client.fetch(request,
                         [done](auto const& it, base::error const&) { done(it.has_value()); });
        });
    std::unique_ptr<platform::cache_follower> follower;
    expect_refused(
        [&](scripted_server& server, auto const& done)
        {
            gateway::cache_store_events callbacks;
            callbacks.reachability_changed = [done](bool it)
            {
                done(it);
            };
            follower = std::make_unique<platform::cache_follower>(timers, client);
            follower->follow(to_string(server.address()), std::move(callbacks));
        });
}

// Guards against a part of an answer without a length that looks whole, since its upstream closed
// its sending side before it reset the connection under the request's body.
TEST(no_response, an_upstream_that_resets_the_connection_under_a_long_request_has_not_answered)
{
    std::string const body(3'000'000, 'x');
    for (char const* const target : {"/unsafe/book", "/stream/chat"})
    {
        for (auto const then :
             {half_closing_server::afterwards::reset, half_closing_server::afterwards::read})
        {
            request_harness system;
            half_closing_server server(
                system.loop, "HTTP/1.1 200 OK\r\n" + stamped_fields + "\r\nid: 1\ndata: part\n\n",
                then, 30ms);
            std::string const service = std::string(target) == "/stream/chat" ? "engines" : "desk";
            system.add_upstream("closing", service, server.address());
            auto const caller = system.connect();
            caller->send(std::string("POST ") + target +
                         " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
            system.run_until_ended(1);
            bool const is_whole = then == half_closing_server::afterwards::read;
            EXPECT_EQ(system.outcomes[0].end == gateway::request_end::answered, is_whole)
                << target << system.outcomes[0].reason;
        }
    }
}

} // namespace
} // namespace savorymount::tests
