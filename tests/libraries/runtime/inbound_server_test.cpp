#include <savorymount/runtime/inbound_server.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <functional>
#include <string>

namespace savorymount::runtime
{
namespace
{

using namespace std::chrono_literals;

/// A client that writes given bytes and collects what comes back.
class raw_client
{
public:
    raw_client(event_loop& loop, std::uint16_t port)
        : buffer_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(port);
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bufferevent_setcb(buffer_, read, nullptr, event, this);
        bufferevent_enable(buffer_, EV_READ | EV_WRITE);
        bufferevent_socket_connect(buffer_, reinterpret_cast<sockaddr*>(&name), sizeof(name));
    }

    ~raw_client()
    {
        if (buffer_ != nullptr)
            bufferevent_free(buffer_);
    }

    raw_client(raw_client const&) = delete;
    raw_client& operator=(raw_client const&) = delete;

    void send(std::string const& bytes) { bufferevent_write(buffer_, bytes.data(), bytes.size()); }
    void leave() { bufferevent_free(std::exchange(buffer_, nullptr)); }

    std::string received;
    bool closed = false;
    std::function<void()> changed;

private:
    static void read(bufferevent* buffer, void* self)
    {
        auto& client = *static_cast<raw_client*>(self);
        std::string bytes(evbuffer_get_length(bufferevent_get_input(buffer)), '\0');
        bufferevent_read(buffer, bytes.data(), bytes.size());
        client.received += bytes;
        client.changed();
    }

    static void event(bufferevent*, short what, void* self)
    {
        auto& client = *static_cast<raw_client*>(self);
        client.closed = client.closed || (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
        client.changed();
    }

    bufferevent* buffer_;
};

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
    server.close_idle();
    run_until(idle, [&] { return idle.closed; });
    EXPECT_EQ(server.busy_connections(), 0U);
}

} // namespace
} // namespace savorymount::runtime
