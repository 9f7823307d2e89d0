#include "platform/store_client.hpp"
#include <savorymount/runtime/http_fetch.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <tests/libraries/runtime/scripted_server.hpp>
#include <tests/platform/request_harness.hpp>

namespace savorymount::tests
{
namespace
{

using namespace std::chrono_literals;
using afterwards = scripted_server::afterwards;

constexpr char const* routes[] = {"/safe/find", "/unsafe/book", "/stream/chat"};

enum class framing
{
    length,
    chunked,
    connection
};

/// How an upstream writes its answers.
struct answer_form
{
    char const* version;
    framing body;
    char const* line_end;
    /// Comes before the answer.
    std::string interim;
};

std::vector<answer_form> answer_forms()
{
    std::string const interim = "HTTP/1.1 100 Continue\r\n\r\n";
    return {{"HTTP/1.1", framing::length, "\r\n", ""},
            {"HTTP/1.1", framing::chunked, "\r\n", ""},
            {"HTTP/1.1", framing::connection, "\r\n", ""},
            {"HTTP/1.0", framing::length, "\r\n", ""},
            {"HTTP/1.0", framing::connection, "\r\n", ""},
            {"HTTP/1.1", framing::length, "\n", ""},
            {"HTTP/1.1", framing::connection, "\n", ""},
            {"HTTP/1.1", framing::length, "\r\n", interim},
            {"HTTP/1.1", framing::chunked, "\r\n", interim},
            {"HTTP/1.1", framing::connection, "\r\n", interim}};
}

std::string body_of(std::string const& route)
{
    return route == "/stream/chat" ? "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" : "found";
}

std::string in_chunks(std::string const& body)
{
    constexpr char const* digits = "0123456789abcdef";
    std::string out;
    for (std::size_t at = 0; at < body.size(); at += 15)
    {
        auto const piece = body.substr(at, 15);
        out += std::string(1, digits[piece.size()]) + "\r\n" + piece + "\r\n";
    }
    return out + "0\r\n\r\n";
}

std::string head_of(answer_form const& form, std::string const& id, std::size_t length)
{
    std::string const end = form.line_end;
    std::string out = std::string(form.version) + " 200 OK" + end + "X-Request-Id: " + id + end;
    if (form.body == framing::length)
        out += "Content-Length: " + std::to_string(length) + end;
    if (form.body == framing::chunked)
        out += "Transfer-Encoding: chunked" + end;
    // The fields that make an answer credible are the last ones.
    return form.interim + out + "X-Weight-Versions: 17" + end + "X-Response-Stamp: stamp" + end +
           end;
}

std::string whole_answer(answer_form const& form, std::string const& route, std::string const& id)
{
    auto const body = body_of(route);
    return head_of(form, id, body.size()) +
           (form.body == framing::chunked ? in_chunks(body) : body);
}

/// Whether what was sent is a whole answer: HTTP can't tell where a body ends that ends with its
/// connection, but an event is cut inside.
bool is_whole(answer_form const& form, std::string const& route, std::string const& sent,
              afterwards end)
{
    auto const whole = whole_answer(form, route, "r");
    if (sent.size() == whole.size())
        return form.body != framing::connection || end == afterwards::close;
    auto const head_bytes = head_of(form, "r", body_of(route).size()).size();
    if (form.body != framing::connection || end != afterwards::close || sent.size() < head_bytes)
        return false;
    return route != "/stream/chat" || sent.size() == head_bytes || sent.ends_with("\n\n");
}

/// Whether a caller takes what it received for a complete answer with a status of success.
bool looks_whole(std::string const& received)
{
    auto const head_end = received.find("\r\n\r\n");
    if (!received.starts_with("HTTP/1.1 2") || head_end == std::string::npos)
        return false;
    auto const head = received.substr(0, head_end);
    auto const length = head.find("Content-Length: ");
    if (length == std::string::npos)
        return received.ends_with("\r\n0\r\n\r\n");
    return received.size() - head_end - 4 >= std::stoul(head.substr(length + 16));
}

std::string description(answer_form const& form, std::string const& route, std::string const& sent,
                        afterwards end)
{
    return route + (end == afterwards::close ? " closed after " : " reset after ") + form.version +
           " " + sent;
}

/// Sends a cut answer on a new connection, or on one that has carried a whole answer before.
void expect_no_part_is_taken_for_whole(answer_form const& form, std::string const& route,
                                       afterwards end, bool kept)
{
    auto const whole = whole_answer(form, route, "r");
    for (std::size_t n = 1; n < whole.size(); ++n)
    {
        auto const sent = whole.substr(0, n);
        if (is_whole(form, route, sent, end))
            continue;
        request_harness system({}, {}, 2s);
        std::vector<std::string> answers;
        if (kept)
            answers.push_back(whole_answer({"HTTP/1.1", framing::length, "\r\n", ""}, route, "r"));
        answers.insert(answers.end(), 4, sent);
        scripted_server upstream(system.loop, std::move(answers), end);
        if (kept)
            upstream.keep_first_connection_open();
        // A client with one attempt left sees what the last answer looks like.
        system.add_upstream("upstream", route == "/stream/chat" ? "engines" : "desk",
                            upstream.address());
        if (kept)
        {
            auto const first = system.send(route, "r");
            system.run_until([&] { return looks_whole(first->received); });
        }
        auto const caller = system.send(route, "r");
        system.run_until(
            [&]
            {
                return upstream.requests() >= (kept ? 2U : 1U) &&
                       (caller->closed || caller->received.find("\r\n\r\n") != std::string::npos);
            });
        system.run_until_ended(kept ? 2 : 1);
        EXPECT_NE(system.outcomes.back().end, gateway::request_end::answered)
            << description(form, route, sent, end) << " " << kept;
        EXPECT_FALSE(looks_whole(caller->received))
            << description(form, route, sent, end) << " " << caller->received;
    }
}

class cut_response : public testing::TestWithParam<char const*>
{
};

// Guards against a part of an answer that a caller takes for the whole one.
TEST_P(cut_response, no_part_of_an_answer_is_taken_for_the_whole)
{
    for (auto const& form : answer_forms())
    {
        for (auto const end : {afterwards::close, afterwards::reset})
            expect_no_part_is_taken_for_whole(form, GetParam(), end, false);
    }
}

// Guards against the same on a connection that has carried an answer before.
TEST_P(cut_response, no_part_of_an_answer_on_a_kept_connection_is_taken_for_the_whole)
{
    for (auto const end : {afterwards::close, afterwards::reset})
        expect_no_part_is_taken_for_whole(answer_forms().front(), GetParam(), end, true);
}

// Guards against the loss of a request that may be repeated, when its upstream closes inside the
// head of its answer.
TEST_P(cut_response, an_answer_that_is_cut_in_its_head_is_repeated_where_that_is_safe)
{
    std::string const route = GetParam();
    auto const form = answer_forms().front();
    auto const head_bytes = head_of(form, "r", body_of(route).size()).size();
    for (std::size_t n = 1; n < head_bytes; n += 7)
    {
        request_harness system({}, {}, 2s);
        scripted_server broken(system.loop, {whole_answer(form, route, "r").substr(0, n)},
                               afterwards::close);
        scripted_server sound(system.loop, {whole_answer(form, route, "r")}, afterwards::keep);
        auto const service = route == "/stream/chat" ? "engines" : "desk";
        system.add_upstream("broken", service, broken.address());
        auto const caller = system.send(route, "r");
        system.run_until([&] { return broken.requests() == 1; });
        system.add_upstream("sound", service, sound.address());
        system.run_until_ended(1);
        if (route == "/unsafe/book")
            EXPECT_EQ(system.outcomes[0].status, 502) << n;
        else
        {
            system.run_until([&] { return looks_whole(caller->received); });
            EXPECT_NE(caller->received.find(route == "/stream/chat" ? "id: 2" : "found"),
                      std::string::npos)
                << caller->received;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(routes, cut_response, testing::ValuesIn(routes),
                         [](auto const& it) {
                             return std::string(it.param).substr(
                                 1, std::string(it.param).rfind('/') - 1);
                         });

std::string store_answer(framing body, std::string const& text)
{
    std::string out = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\n";
    if (body == framing::length)
        return out + "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
    return out + "Transfer-Encoding: chunked\r\n\r\n" + in_chunks(text);
}

class cut_store_answer : public testing::Test
{
protected:
    template <typename Condition>
    void run_until(Condition holds)
    {
        while (!holds())
            event_base_loop(loop.base(), EVLOOP_ONCE);
    }

    /// Calls `ask` for each part of the answer; it says by its callback whether it got a page.
    void expect_errors(
        std::string const& text,
        std::function<void(platform::store_client&, std::function<void(bool)>)> const& ask)
    {
        for (auto const body : {framing::length, framing::chunked})
        {
            auto const whole = store_answer(body, text);
            for (auto const end : {afterwards::close, afterwards::reset})
            {
                for (std::size_t n = 1; n < whole.size(); ++n)
                {
                    runtime::outbound_client client(loop, timers);
                    scripted_server server(loop, {whole.substr(0, n)}, end);
                    platform::store_client store(client, server.address());
                    std::optional<bool> got_page;
                    ask(store, [&](bool it) { got_page = it; });
                    run_until([&] { return got_page.has_value(); });
                    EXPECT_FALSE(*got_page) << whole.substr(0, n);
                }
            }
        }
    }

    runtime::event_loop loop;
    runtime::timer_service timers{loop};
};

// Guards against an answer of the store that is cut and read as a list without the rest.
TEST_F(cut_store_answer, no_part_of_a_list_is_read)
{
    expect_errors(R"({"items":[{"key":"a","value":"YQ==","offset":1}],"more":false,"end":2})",
                  [](auto& store, auto const& callback)
                  {
                      store.read_newest("keyed.test", "",
                                        [callback](auto const& page, auto const&)
                                        { callback(page.has_value()); });
                  });
}

// Guards against an answer of the store that is cut and read as if no records followed.
TEST_F(cut_store_answer, no_part_of_a_page_of_records_is_read)
{
    auto const header = std::string(7, '\0') + "\x02" + std::string(8, '\0');
    expect_errors(
        header + platform::serialize_record("a", "1") + platform::serialize_record("b", "2"),
        [](auto& store, auto const& callback)
        {
            store.read("keyed.test", 0, 0s,
                       [callback](auto const& page, auto const&) { callback(page.has_value()); });
        });
}

// Guards against an append whose answer was cut and that counts as accepted.
TEST_F(cut_store_answer, no_part_of_an_answer_accepts_an_append)
{
    expect_errors(R"({"offset":1,"end":2})",
                  [](auto& store, auto const& callback)
                  {
                      store.append("keyed.test", "a", "1", std::nullopt,
                                   [callback](platform::append_result const& it)
                                   { callback(it.outcome != gateway::append_outcome::unknown); });
                  });
}

// Guards against a part of an answer that the client of the entries takes for the whole.
TEST_F(cut_store_answer, no_part_of_an_answer_is_fetched)
{
    for (auto const body : {framing::length, framing::chunked})
    {
        auto const whole = store_answer(body, "found");
        for (auto const end : {afterwards::close, afterwards::reset})
        {
            for (std::size_t n = 1; n < whole.size(); ++n)
            {
                scripted_server server(loop, {whole.substr(0, n)}, end);
                std::optional<bool> fetched;
                runtime::http_call_request request;
                request.address = server.address();
                request.method = "GET";
                request.target = "/";
                runtime::http_fetch(loop, std::move(request), 1'000'000,
                                    [&](std::optional<runtime::http_answer> const& it,
                                        std::optional<runtime::http_failure> const&)
                                    { fetched = it.has_value(); });
                run_until([&] { return fetched.has_value(); });
                EXPECT_FALSE(*fetched) << whole.substr(0, n);
            }
        }
    }
}

} // namespace
} // namespace savorymount::tests
