#include <savorymount/runtime/callback_guard.hpp>
#include <savorymount/runtime/inbound_server.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cerrno>
#include <functional>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <tests/libraries/runtime/raw_client.hpp>
#include <unistd.h>
#include <vector>

namespace savorymount::runtime
{
namespace
{

using namespace std::chrono_literals;
using tests::raw_client;

class inbound_server_test : public testing::Test
{
protected:
    inbound_server_test()
    {
        base::error reason;
        port = *server.listen({"127.0.0.1", 0}, reason);
        on_request = [](std::shared_ptr<inbound_connection> const& client, http_request const& it)
        {
            client->respond(200, {}, it.head.target + "|" + it.body);
        };
    }

    /// Runs the loop until `finished` holds.
    void run_until(raw_client& client, std::function<bool()> finished)
    {
        client.changed = [this, finished = std::move(finished)]
        {
            if (finished())
                loop.stop();
        };
        loop.run();
    }

    std::string answer_to(std::string const& bytes)
    {
        raw_client client(loop, port);
        client.send(bytes);
        run_until(client, [&] { return client.closed; });
        return client.received;
    }

    event_loop loop;
    timer_service timers{loop};
    std::function<void(std::shared_ptr<inbound_connection>, http_request&&)> on_request;
    inbound_server server{loop, timers,
                          [this](std::shared_ptr<inbound_connection> client, http_request&& it)
                          {
                              on_request(std::move(client), std::move(it));
                          }};
    std::uint16_t port = 0;
};

// Guards against a body in chunks that arrives changed.
TEST_F(inbound_server_test, reads_bodies_with_a_length_and_in_chunks)
{
    EXPECT_NE(answer_to("POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                        "Content-Length: 2\r\n\r\nhi")
                  .find("/a|hi"),
              std::string::npos);
    EXPECT_NE(answer_to("POST /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1\r\ni\r\n0\r\n\r\n")
                  .find("/b|hi"),
              std::string::npos);
}

// Guards against a body that is read although its request is refused by its head.
TEST_F(inbound_server_test, refuses_an_announced_body_without_reading_it)
{
    server.on_body_announced([](auto const& client, http_head const&)
                             { client->refuse_body(401, {}, "no"); });
    std::size_t requests = 0;
    on_request = [&](auto const&, http_request const&)
    {
        ++requests;
    };
    raw_client client(loop, port);
    client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n");
    run_until(client, [&] { return client.received.find("no") != std::string::npos; });
    EXPECT_NE(client.received.find("401"), std::string::npos);
    EXPECT_NE(client.received.find("Connection: close"), std::string::npos);
    // A client that goes on with the body must still be able to read the response.
    client.send(std::string(900'000, 'x'));
    while (server.connections() > 0)
        event_base_loop(loop.base(), EVLOOP_ONCE);
    EXPECT_FALSE(client.reset);
    EXPECT_EQ(requests, 0U);
}

// Guards against a client that waits for `100 Continue` and sends a body that nobody reads.
TEST_F(inbound_server_test, asks_for_a_body_only_once_it_is_accepted)
{
    std::shared_ptr<inbound_connection> announced;
    server.on_body_announced([&](auto const& client, http_head const&) { announced = client; });
    raw_client client(loop, port);
    client.send("POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n"
                "Expect: 100-continue\r\n\r\n");
    while (!announced)
        event_base_loop(loop.base(), EVLOOP_ONCE);
    EXPECT_EQ(client.received, "");
    announced->read_body(nullptr);
    run_until(client, [&] { return !client.received.empty(); });
    EXPECT_EQ(client.received, "HTTP/1.1 100 Continue\r\n\r\n");
    client.send("hi");
    run_until(client, [&] { return client.closed; });
    EXPECT_NE(client.received.find("/a|hi"), std::string::npos);
}

// Guards against a body that fills the memory while it waits for its turn.
TEST_F(inbound_server_test, reads_nothing_of_a_body_that_is_held)
{
    std::shared_ptr<inbound_connection> announced;
    server.on_body_announced([&](auto const& client, http_head const&) { announced = client; });
    constexpr std::size_t size = 4'000'000;
    raw_client client(loop, port);
    client.send("POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " +
                std::to_string(size) + "\r\n\r\n" + std::string(size, 'x'));
    while (!announced)
        event_base_loop(loop.base(), EVLOOP_ONCE);
    auto const wait_over = timers.after(100ms, [this] { loop.stop(); });
    loop.run();
    EXPECT_TRUE(announced->has_unread_input());
    announced->read_body(nullptr);
    run_until(client, [&] { return client.closed; });
    EXPECT_NE(client.received.find("/a|xxx"), std::string::npos);
    EXPECT_GE(client.received.size(), size);
}

// Guards against a request that is smuggled inside another one.
TEST_F(inbound_server_test, refuses_framing_that_can_be_read_in_two_ways)
{
    int requests = 0;
    on_request = [&](auto const& client, http_request const&)
    {
        ++requests;
        client->respond(200, {}, "");
    };
    std::string const smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
    for (std::string const framing :
         {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 5\r\nContent-Length: 6\r\n", "Transfer-Encoding: chunked, identity\r\n",
          "Content-Length: 5, 5\r\n", "Content-Length: +5\r\n", "Content-Length : 5\r\n"})
    {
        std::string request = "POST / HTTP/1.1\r\nHost: h\r\n";
        request += framing;
        request += "\r\n0\r\n\r\n";
        request += smuggled;
        auto const answer = answer_to(request);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 400 ")) << framing << answer;
    }
    EXPECT_EQ(requests, 0);
}

// Guards against the body of a request that runs as a request of its own, because its method or a
// change of the protocol ends the message after the head.
TEST_F(inbound_server_test, takes_no_body_for_the_next_request_whatever_the_method)
{
    std::vector<std::string> targets;
    on_request = [&](auto const& client, http_request const& it)
    {
        targets.push_back(it.head.target);
        client->respond(200, {}, it.body);
    };
    std::string const smuggled = "POST /smuggled HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    std::string const with_length =
        "Content-Length: " + std::to_string(smuggled.size()) + "\r\n\r\n" + smuggled;
    std::string const in_chunk =
        "Transfer-Encoding: chunked\r\n\r\n37\r\n" + smuggled + "\r\n0\r\n\r\n";
    ASSERT_EQ(smuggled.size(), 0x37U);
    for (std::string const method : {"CONNECT", "GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS",
                                     "TRACE", "PATCH", "PRI", "UNKNOWN", "connect"})
    {
        for (std::string const target : {"/it", "h:80", "http://h/it", "*"})
        {
            for (std::string const fields : {"", "Connection: Upgrade\r\nUpgrade: tcp\r\n",
                                             "Connection: close\r\n", "Expect: 100-continue\r\n"})
            {
                for (auto const& body : {with_length, in_chunk})
                {
                    std::string request = method;
                    request += " " + target + " HTTP/1.1\r\nHost: h\r\n";
                    request += fields;
                    request += body;
                    // Ends the connection also if it is kept.
                    request += "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
                    targets.clear();
                    auto const answer = answer_to(request);
                    EXPECT_EQ(std::count(targets.begin(), targets.end(), "/smuggled"), 0)
                        << request;
                    EXPECT_TRUE(answer.starts_with("HTTP/1.1 ")) << request;
                    bool const is_refused = targets.empty() && answer.starts_with("HTTP/1.1 400 ");
                    EXPECT_TRUE(is_refused || method != "CONNECT") << request << answer;
                }
            }
        }
    }
}

// Guards against a client that waits for a permission that never comes.
TEST_F(inbound_server_test, lets_a_waiting_client_send_its_body)
{
    raw_client client(loop, port);
    client.send("POST /c HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    run_until(client, [&] { return client.received.ends_with("\r\n\r\n"); });
    EXPECT_TRUE(client.received.starts_with("HTTP/1.1 100 Continue\r\n\r\n"));
    client.send("hi");
    run_until(client, [&] { return client.received.ends_with("/c|hi"); });
}

// Guards against a request beyond the limits that takes memory, or whose answer is lost.
TEST_F(inbound_server_test, refuses_what_is_too_large)
{
    server.set_limits({.max_header_bytes = 200, .max_body_bytes = 10});
    EXPECT_TRUE(answer_to("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\nhello worlds")
                    .starts_with("HTTP/1.1 413 "));
    EXPECT_TRUE(answer_to("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                          "b\r\nhello world\r\n0\r\n\r\n")
                    .starts_with("HTTP/1.1 413 "));
    EXPECT_TRUE(answer_to("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'x') + "\r\n\r\n")
                    .starts_with("HTTP/1.1 431 "));
    EXPECT_TRUE(answer_to("nonsense\r\n\r\n").starts_with("HTTP/1.1 400 "));
}

// Guards against an open connection that keeps the limits of its start.
TEST_F(inbound_server_test, applies_changed_limits_to_open_connections)
{
    server.set_limits({.max_header_bytes = 200, .max_body_bytes = 4});
    raw_client client(loop, port);
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    run_until(client, [&] { return client.received.ends_with("/1|"); });
    server.set_limits({.max_header_bytes = 2000, .max_body_bytes = 10, .idle_timeout = 50ms});
    client.send("POST /2 HTTP/1.1\r\nHost: h\r\nX: " + std::string(1000, 'x') +
                "\r\nContent-Length: 8\r\n\r\n12345678");
    run_until(client, [&] { return client.received.ends_with("/2|12345678"); });
    // The changed time limit ends the connection.
    run_until(client, [&] { return client.closed; });
}

// Guards against a kept connection that mixes up its requests, also when the second one is sent
// before the first one is answered.
TEST_F(inbound_server_test, answers_the_requests_of_a_connection_in_turn)
{
    raw_client client(loop, port);
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    run_until(client, [&] { return client.received.ends_with("/2|"); });
    EXPECT_LT(client.received.find("/1|"), client.received.find("/2|"));
}

// Guards against work that goes on after its caller has left.
TEST_F(inbound_server_test, tells_when_the_client_leaves_before_its_answer)
{
    bool gone = false;
    std::shared_ptr<inbound_connection> held;
    raw_client client(loop, port);
    on_request = [&](auto const& it, http_request const&)
    {
        held = it;
        held->on_gone(
            [&]
            {
                gone = true;
                loop.stop();
            });
        client.leave();
    };
    client.changed = [] {
    };
    client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    loop.run();
    EXPECT_TRUE(gone);
    held->respond(200, {}, "too late");
    EXPECT_EQ(server.connections(), 0U);
}

// Guards against a stream whose break looks like its end.
TEST_F(inbound_server_test, ends_a_stream_only_when_it_is_finished)
{
    on_request = [&](auto const& it, http_request const& request)
    {
        it->start(200, {});
        it->write("event");
        if (request.head.target == "/whole")
            it->finish();
        else
            it->when_drained([it] { it->abort(); });
    };
    EXPECT_TRUE(answer_to("GET /whole HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                    .ends_with("5\r\nevent\r\n0\r\n\r\n"));
    EXPECT_TRUE(answer_to("GET /cut HTTP/1.1\r\nHost: h\r\n\r\n").ends_with("5\r\nevent\r\n"));
}

// Guards against a shutdown that cuts a request, or that keeps its connections for ever.
TEST_F(inbound_server_test, closes_each_connection_after_its_next_answer_while_it_drains)
{
    raw_client idle(loop, port);
    idle.changed = [] {
    };
    raw_client client(loop, port);
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    run_until(client, [&] { return client.received.ends_with("/1|"); });
    server.drain();
    client.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    run_until(client, [&] { return client.closed; });
    EXPECT_NE(client.received.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(client.received.ends_with("/2|"));
    server.close_idle(0s);
    run_until(idle, [&] { return idle.closed; });
    EXPECT_EQ(server.busy_connections(), 0U);
}

// Guards against requests that are cut off by a planned stop because the process has not read them
// yet: the kernel has accepted their connections, or their bytes.
TEST_F(inbound_server_test, answers_requests_that_the_kernel_accepted_before_the_stop)
{
    raw_client kept(loop, port);
    kept.send("GET /kept HTTP/1.1\r\nHost: h\r\n\r\n");
    run_until(kept, [&] { return kept.received.ends_with("/kept|"); });
    server.drain();
    // Blocking sockets of their own: the loop does not run, as in a process that has no time.
    auto const connect_and_send = [&](std::string const& target)
    {
        int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(port);
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(connect(socket, reinterpret_cast<sockaddr*>(&name), sizeof(name)), 0);
        auto const request = "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
        EXPECT_EQ(write(socket, request.data(), request.size()), ssize_t(request.size()));
        return socket;
    };
    std::vector<int> sockets;
    sockets.reserve(20);
    for (int i = 0; i < 20; ++i)
        sockets.push_back(connect_and_send("/new-" + std::to_string(i)));
    kept.write_now("GET /again HTTP/1.1\r\nHost: h\r\n\r\n");
    server.close_idle(0s);
    run_until(kept, [&] { return kept.closed; });
    EXPECT_TRUE(kept.received.ends_with("/again|")) << kept.received;
    for (int i = 0; i < 20; ++i)
    {
        char answer[512] = {};
        auto const socket = sockets[static_cast<std::size_t>(i)];
        auto n = recv(socket, answer, sizeof(answer), MSG_DONTWAIT);
        while (n < 0 && errno == EAGAIN)
        {
            event_base_loop(loop.base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
            n = recv(socket, answer, sizeof(answer), MSG_DONTWAIT);
        }
        EXPECT_NE(std::string(answer).find("/new-" + std::to_string(i) + "|"), std::string::npos)
            << i << " " << n;
        close(socket);
    }
}

// Guards against an unexpected exception that ends the process, or that ends other requests.
TEST_F(inbound_server_test, drops_only_the_connection_whose_request_cannot_be_handled)
{
    on_request = [](auto const& client, http_request const& it)
    {
        if (it.head.target == "/broken")
            throw std::runtime_error("unexpected");
        client->respond(200, {}, it.head.target + "|");
    };
    auto const failures = callback_failures();
    EXPECT_EQ(answer_to("GET /broken HTTP/1.1\r\nHost: h\r\n\r\n"), "");
    EXPECT_EQ(callback_failures(), failures + 1);
    raw_client client(loop, port);
    client.send("GET /sound HTTP/1.1\r\nHost: h\r\n\r\n");
    run_until(client, [&] { return client.received.ends_with("/sound|"); });
}

} // namespace
} // namespace savorymount::runtime
