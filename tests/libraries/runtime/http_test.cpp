#include <savorymount/runtime/http_call.hpp>
#include <savorymount/runtime/http_server.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace savorymount::runtime
{
namespace
{

using exchange_ptr = std::shared_ptr<http_exchange>;

/// Ends a test whose loop waits for something that never happens.
constexpr auto give_up = std::chrono::seconds(20);

struct result
{
    int status = 0;
    http_headers headers;
    std::vector<std::string> chunks;
    std::optional<http_failure> failure;
    bool done = false;

    std::string body() const
    {
        std::string out;
        for (auto const& it : chunks)
            out += it;
        return out;
    }
};

/// A plain TCP connection to the server, driven by the test.
class raw_client
{
public:
    explicit raw_client(std::uint16_t port) : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(port);
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::connect(socket_, reinterpret_cast<sockaddr*>(&name), sizeof(name)), 0);
    }

    ~raw_client() { close(); }
    raw_client(raw_client const&) = delete;
    raw_client& operator=(raw_client const&) = delete;

    void send(std::string const& bytes) const
    {
        ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    /// Sends as much as the kernel takes without waiting.
    std::size_t try_send(std::string const& bytes) const
    {
        auto const n = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return n > 0 ? static_cast<std::size_t>(n) : 0;
    }

    /// Reads what has arrived and says whether the server has closed the connection.
    bool at_end()
    {
        char buf[4096];
        ssize_t n = 0;
        while ((n = ::recv(socket_, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
            received_.append(buf, static_cast<std::size_t>(n));
        reset_ = reset_ || (n < 0 && errno == ECONNRESET);
        return n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

    std::string const& received() const { return received_; }
    bool was_reset() const { return reset_; }

    void close()
    {
        if (socket_ >= 0)
            ::close(std::exchange(socket_, -1));
    }

private:
    int socket_;
    std::string received_;
    bool reset_ = false;
};

enum class after_response
{
    close,
    wait_for_peer,
    reset
};

/// A server that reads once on its one connection and sends fixed bytes.
class raw_server
{
public:
    explicit raw_server(std::string response, after_response then = after_response::close)
        : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(name);
        EXPECT_EQ(::bind(socket_, reinterpret_cast<sockaddr*>(&name), sizeof(name)), 0);
        ::listen(socket_, 1);
        ::getsockname(socket_, reinterpret_cast<sockaddr*>(&name), &size);
        port_ = ntohs(name.sin_port);
        thread_ = std::thread(
            [this, then, response = std::move(response)]
            {
                int const peer = ::accept(socket_, nullptr, nullptr);
                char buf[65536];
                ::recv(peer, buf, sizeof(buf), 0);
                ::send(peer, response.data(), response.size(), MSG_NOSIGNAL);
                if (then == after_response::wait_for_peer)
                    ::recv(peer, buf, sizeof(buf), 0);
                if (then == after_response::reset)
                {
                    // Time for the bytes to be read before the reset drops them.
                    std::this_thread::sleep_for(std::chrono::milliseconds(20));
                    struct linger const at_once{1, 0};
                    ::setsockopt(peer, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
                }
                ::close(peer);
            });
    }

    ~raw_server()
    {
        ::shutdown(socket_, SHUT_RDWR);
        thread_.join();
        ::close(socket_);
    }

    raw_server(raw_server const&) = delete;
    raw_server& operator=(raw_server const&) = delete;

    std::uint16_t port() const { return port_; }

private:
    int socket_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

class http_test : public testing::Test
{
protected:
    /// Lets deferred work run, so that the leak check sees only real leaks.
    void TearDown() override
    {
        server.reset();
        for (int pass = 0; pass < 3; ++pass)
            event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    }

    void serve(std::function<void(exchange_ptr)> handler, http_limits const& limits = {})
    {
        server.emplace(loop, limits, std::move(handler));
        base::error reason;
        port = server->listen({"127.0.0.1", 0}, reason).value();
    }

    http_call_request request(std::string method, std::string target, std::string body = "") const
    {
        return {{"127.0.0.1", port}, std::move(method), std::move(target), {}, std::move(body)};
    }

    http_call_hooks hooks(result& out)
    {
        return {[&out](int status, http_headers const& headers)
                {
                    out.status = status;
                    out.headers = headers;
                },
                [&out](std::string_view bytes) { out.chunks.emplace_back(bytes); },
                [this, &out](std::optional<http_failure> const& failure)
                {
                    out.done = true;
                    out.failure = failure;
                    loop.stop();
                }};
    }

    result run(http_call_request wanted)
    {
        result out;
        http_call const call(loop, std::move(wanted), hooks(out));
        run();
        return out;
    }

    void run()
    {
        bool late = false;
        auto const guard = timers.after(give_up,
                                        [&]
                                        {
                                            late = true;
                                            loop.stop();
                                        });
        loop.run();
        EXPECT_FALSE(late);
    }

    /// Runs the loop until `finished` holds.
    void run_until(std::function<bool()> const& finished)
    {
        auto const poll = timers.every(std::chrono::milliseconds(1),
                                       [&]
                                       {
                                           if (finished())
                                               loop.stop();
                                       });
        run();
    }

    std::unique_ptr<event_loop> const owned_loop = std::make_unique<event_loop>();
    event_loop& loop = *owned_loop;
    timer_service timers{loop};
    std::optional<http_server> server;
    std::uint16_t port = 0;
};

// Guards against a request or response that loses its parts on the way.
TEST_F(http_test, request_and_response_arrive_whole)
{
    exchange_ptr seen;
    serve(
        [&](exchange_ptr const& it)
        {
            seen = it;
            it->respond(201, {{"X-Answer", "yes"}}, "hello");
        });
    auto wanted = request("POST", "/a/b?c=d", "the body");
    wanted.headers = {{"X-Question", "maybe"}, {"Content-Length", "1"}};
    auto const out = run(wanted);
    EXPECT_FALSE(out.failure);
    EXPECT_EQ(out.status, 201);
    EXPECT_EQ(find_header(out.headers, "x-answer"), "yes");
    EXPECT_EQ(out.body(), "hello");
    EXPECT_EQ(seen->method(), "POST");
    EXPECT_EQ(seen->target(), "/a/b?c=d");
    EXPECT_EQ(find_header(seen->headers(), "x-question"), "maybe");
    EXPECT_EQ(seen->body(), "the body");
    EXPECT_EQ(server->open_exchanges(), 0U);
}

// Guards against a stream that merges, reorders or holds back its chunks.
TEST_F(http_test, stream_arrives_chunk_by_chunk)
{
    exchange_ptr open;
    serve(
        [&](exchange_ptr const& it)
        {
            open = it;
            it->start(200, {{"Content-Type", "text/event-stream"}});
            it->write("one");
        });
    result out;
    http_call const call(loop, request("GET", "/"), hooks(out));
    run_until([&] { return out.chunks.size() == 1; });
    open->write("two");
    run_until([&] { return out.chunks.size() == 2; });
    open->finish();
    run_until([&] { return out.done; });
    EXPECT_FALSE(out.failure);
    EXPECT_EQ(out.chunks, (std::vector<std::string>{"one", "two"}));
    EXPECT_EQ(server->open_exchanges(), 0U);
}

// Guards against a client that takes a stream cut short for a whole one.
TEST_F(http_test, aborted_stream_is_a_failure_after_its_bytes)
{
    serve(
        [&](exchange_ptr const& it)
        {
            it->start(200, {});
            it->write("partial");
            it->abort();
        });
    auto const out = run(request("GET", "/"));
    EXPECT_EQ(out.body(), "partial");
    ASSERT_TRUE(out.failure);
    EXPECT_TRUE(out.failure->written);
    EXPECT_TRUE(out.failure->head_received);
}

// Guards against a client that takes a body shorter than announced for a whole one.
TEST_F(http_test, truncated_bodies_are_failures)
{
    for (std::string const response : {
             "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort",
         })
    {
        raw_server const peer(response);
        port = peer.port();
        auto const out = run(request("GET", "/"));
        ASSERT_TRUE(out.failure) << response;
        EXPECT_TRUE(out.failure->written);
        EXPECT_TRUE(out.failure->head_received);
    }
}

// Guards against a body without a length or chunks that is refused or never ends: it ends with its
// connection, also if the head says that the connection is kept.
TEST_F(http_test, unframed_body_ends_with_its_connection)
{
    for (std::string const head :
         {"HTTP/1.0 200 OK\r\n", "HTTP/1.0 200 OK\r\nConnection: close\r\n",
          "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n", "HTTP/1.1 200 OK\r\n",
          "HTTP/1.1 200 OK\r\nConnection: close\r\n",
          "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n"})
    {
        for (std::string const body : {"", "whole"})
        {
            std::string response = head;
            response += "\r\n";
            response += body;
            raw_server const peer(response);
            port = peer.port();
            auto const out = run(request("POST", "/", "run me"));
            EXPECT_FALSE(out.failure) << head << body << out.failure->reason.message;
            EXPECT_EQ(out.status, 200) << head;
            EXPECT_EQ(out.body(), body) << head;
        }
    }
}

// Guards against an unframed body that is reset on its way and counts as whole.
TEST_F(http_test, unframed_body_that_is_reset_is_a_failure)
{
    raw_server const peer("HTTP/1.1 200 OK\r\n\r\nhalf", after_response::reset);
    port = peer.port();
    auto const out = run(request("GET", "/"));
    ASSERT_TRUE(out.failure);
    EXPECT_TRUE(out.failure->head_received);
}

// Guards against a response in parts that a caller of HTTP/1.0 can't read, that never ends for it,
// or that looks whole although it was aborted.
TEST_F(http_test, caller_of_http_1_0_sees_the_end_of_a_response_in_parts)
{
    for (std::string const connection : {"", "Connection: keep-alive\r\n"})
    {
        for (bool const aborted : {false, true})
        {
            serve(
                [&](exchange_ptr const& it)
                {
                    it->start(200, {});
                    it->write("part");
                    if (aborted)
                        it->abort();
                    else
                        it->finish();
                });
            raw_client client(port);
            client.send("GET / HTTP/1.0\r\n" + connection + "\r\n");
            run_until([&] { return client.at_end(); });
            EXPECT_EQ(client.was_reset(), aborted) << connection;
            bool const whole = client.received().ends_with("\r\n\r\npart");
            EXPECT_TRUE(aborted || whole) << client.received();
        }
    }
}

// Guards against a malformed or missing response that counts as an answer, and against a request
// that may have run but is reported as not written.
TEST_F(http_test, missing_or_malformed_responses_are_failures)
{
    for (std::string const response :
         {"", "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nConte", "nonsense\r\n\r\n"})
    {
        raw_server const peer(response);
        port = peer.port();
        auto const out = run(request("POST", "/", "run me"));
        ASSERT_TRUE(out.failure) << response;
        EXPECT_TRUE(out.failure->written) << response;
        EXPECT_FALSE(out.failure->head_received) << response;
        EXPECT_EQ(out.status, 0) << response;
    }
}

// Guards against bytes that evhttp takes for a response and that are none.
TEST_F(http_test, heads_that_are_none_are_failures)
{
    std::string const fields = "\r\nContent-Length: 2\r\n";
    for (std::string const& head :
         {"HTTP/1.1 000 OK" + fields, "HTTP/1.1 001 OK" + fields, "HTTP/1.1 099 OK" + fields,
          "HTTP/1.1 101 OK" + fields, "HTTP/1.1 600 OK" + fields, "HTTP/1.1 999 OK" + fields,
          "HTTP/1.1 20 OK" + fields, "HTTP/1.1 200 OK" + fields + "X Field: a\r\n",
          "HTTP/1.1 200 OK" + fields + "X-Field : a\r\n",
          "HTTP/1.1 200 OK" + fields + "X\x01Field: a\r\n",
          "HTTP/1.1 200 OK" + fields + "X-Field: a\x01\r\n"})
    {
        raw_server const peer(head + "\r\nok");
        port = peer.port();
        auto const out = run(request("POST", "/", "run me"));
        EXPECT_TRUE(out.failure) << head;
        EXPECT_EQ(out.status, 0) << head;
    }
}

// Guards against interim responses that reach the caller as the final head.
TEST_F(http_test, interim_response_is_skipped)
{
    raw_server const peer(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        after_response::wait_for_peer);
    port = peer.port();
    auto const out = run(request("GET", "/"));
    EXPECT_FALSE(out.failure) << out.failure->reason.message;
    EXPECT_EQ(out.status, 200);
    EXPECT_EQ(out.body(), "ok");
}

// Guards against a refused connection that counts as a request that may have run.
TEST_F(http_test, refused_connection_is_reported_as_not_written)
{
    serve([](exchange_ptr const& it) { it->respond(200, {}, ""); });
    server.reset();
    auto const wanted = request("POST", "/", "body");
    auto const out = run(wanted);
    ASSERT_TRUE(out.failure);
    EXPECT_FALSE(out.failure->written);
    EXPECT_EQ(out.failure->reason.kind, base::error_kind::unavailable);
    EXPECT_NE(out.failure->reason.message.find(to_string(wanted.address)), std::string::npos)
        << out.failure->reason.message;
}

// Guards against a call that waits for ever for a peer that has gone silent.
TEST_F(http_test, silent_peer_ends_the_call_after_the_idle_timeout)
{
    serve([](exchange_ptr const&) {});
    auto wanted = request("GET", "/");
    wanted.idle_timeout = std::chrono::milliseconds(30);
    auto const out = run(wanted);
    ASSERT_TRUE(out.failure);
    EXPECT_EQ(out.failure->reason.kind, base::error_kind::deadline);
    EXPECT_TRUE(out.failure->written);
}

// Guards against a call that hangs while the peer's accept queue is full.
TEST_F(http_test, connect_timeout_is_reported_as_not_written)
{
    int const listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(name);
    ASSERT_EQ(::bind(listener, reinterpret_cast<sockaddr*>(&name), sizeof(name)), 0);
    ::listen(listener, 0);
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&name), &size);
    port = ntohs(name.sin_port);
    {
        // The queue of length 0 holds one connection; the kernel then ignores further ones.
        raw_client const first(port);
        auto wanted = request("GET", "/");
        wanted.connect_timeout = std::chrono::milliseconds(50);
        auto const out = run(wanted);
        ASSERT_TRUE(out.failure);
        EXPECT_FALSE(out.failure->written) << out.failure->reason.message;
    }
    ::close(listener);
}

/// When a call is paused in relation to its first bytes.
class http_pause_test : public http_test, public testing::WithParamInterface<std::string>
{
};

// Guards against a call that reads on while its consumer is slow and so buffers without bound.
TEST_P(http_pause_test, paused_call_stops_reading_and_resumes)
{
    constexpr std::size_t total_bytes = std::size_t{64} * 1024 * 1024;
    exchange_ptr open;
    serve(
        [&](exchange_ptr const& it)
        {
            open = it;
            it->start(200, {});
            std::string const piece(65536, 'x');
            for (std::size_t n = 0; n < total_bytes; n += piece.size())
                it->write(piece);
            it->finish();
        });
    result out;
    std::size_t received = 0;
    std::optional<http_call> call;
    auto watched = hooks(out);
    bool pausing = GetParam() == "in_every_chunk" || GetParam() == "in_first_chunk";
    watched.on_chunk = [&](std::string_view bytes)
    {
        received += bytes.size();
        if (pausing)
            call->pause();
        pausing = pausing && GetParam() == "in_every_chunk";
    };
    call.emplace(loop, request("GET", "/"), watched);
    if (GetParam() == "before_connecting")
        call->pause();
    run_until([&] { return open != nullptr; });
    std::size_t last = 0;
    int unchanged = 0;
    run_until(
        [&]
        {
            unchanged = received == last ? unchanged + 1 : 0;
            last = received;
            return unchanged > 50;
        });
    EXPECT_LT(received, total_bytes / 4);
    EXPECT_GT(open->buffered_bytes(), total_bytes / 4);
    pausing = false;
    call->resume();
    run_until([&] { return out.done; });
    EXPECT_FALSE(out.failure);
    EXPECT_EQ(received, total_bytes);
}

INSTANTIATE_TEST_SUITE_P(all, http_pause_test,
                         testing::Values("in_every_chunk", "in_first_chunk", "before_connecting"),
                         [](auto const& it) { return it.param; });

// Guards against a drained hook that is never called, or called while the buffer is still full.
TEST_F(http_test, drained_hook_follows_the_caller)
{
    std::size_t buffered_when_full = 0;
    std::size_t buffered_when_drained = 1;
    int drained = 0;
    serve(
        [&](exchange_ptr const& it)
        {
            it->start(200, {});
            it->write(std::string(std::size_t{8} * 1024 * 1024, 'x'));
            buffered_when_full = it->buffered_bytes();
            it->when_drained(
                [&, it]
                {
                    ++drained;
                    buffered_when_drained = it->buffered_bytes();
                    it->finish();
                });
        });
    auto const out = run(request("GET", "/"));
    EXPECT_FALSE(out.failure);
    EXPECT_EQ(drained, 1);
    EXPECT_GT(buffered_when_full, std::size_t{1024} * 1024);
    EXPECT_LT(buffered_when_drained, std::size_t{64} * 1024);
}

// Guards against use of a freed connection when a hook ends its own call.
TEST_F(http_test, call_may_end_inside_each_of_its_hooks)
{
    serve(
        [](exchange_ptr const& it)
        {
            it->start(200, {});
            it->write("one");
            it->write("two");
            it->finish();
        });
    for (int place = 0; place < 3; ++place)
    {
        for (bool const destroys : {false, true})
        {
            int hook_calls = 0;
            std::unique_ptr<http_call> call;
            auto const end = [&](int where)
            {
                if (where != place)
                    return;
                ++hook_calls;
                if (destroys)
                    call.reset();
                else
                    call->cancel();
            };
            bool late_hook = false;
            bool ended = false;
            auto const check = [&](int where)
            {
                late_hook = late_hook || ended;
                end(where);
                ended = ended || where == place;
            };
            http_call_hooks const watched{[&](int, http_headers const&) { check(0); },
                                          [&](std::string_view) { check(1); },
                                          [&](std::optional<http_failure> const&)
                                          {
                                              check(2);
                                          }};
            call = std::make_unique<http_call>(loop, request("GET", "/"), watched);
            run_until([&] { return ended && server->open_exchanges() == 0; });
            EXPECT_EQ(hook_calls, 1);
            EXPECT_FALSE(late_hook);
        }
    }
}

// Guards against hooks that fire for a call cancelled before it connected.
TEST_F(http_test, call_cancelled_at_once_sends_nothing)
{
    int requests = 0;
    serve(
        [&](exchange_ptr const& it)
        {
            ++requests;
            it->respond(200, {}, "");
        });
    result dropped;
    {
        http_call const call(loop, request("GET", "/"), hooks(dropped));
    }
    auto const out = run(request("GET", "/"));
    EXPECT_FALSE(out.failure);
    EXPECT_FALSE(dropped.done);
    EXPECT_EQ(requests, 1);
}

// Guards against work that goes on for a caller that has left, and against use of its connection.
TEST_F(http_test, caller_that_leaves_is_noticed_and_late_calls_do_nothing)
{
    for (bool const started : {false, true})
    {
        exchange_ptr open;
        int closed = 0;
        serve(
            [&](exchange_ptr const& it)
            {
                open = it;
                it->on_close([&] { ++closed; });
                if (started)
                    it->start(200, {});
            });
        raw_client client(port);
        client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        run_until([&] { return open != nullptr; });
        client.close();
        run_until([&] { return closed > 0; });
        EXPECT_EQ(server->open_exchanges(), 0U);
        open->start(200, {});
        open->write("late");
        open->when_drained([] { FAIL() << "there is nothing to drain"; });
        open->respond(200, {}, "late");
        open->finish();
        open->abort();
        EXPECT_EQ(open->buffered_bytes(), 0U);
        auto const settle = timers.after(std::chrono::milliseconds(5), [&] { loop.stop(); });
        run();
        EXPECT_EQ(closed, 1);
    }
}

// Guards against a server that is destroyed under an open exchange.
TEST_F(http_test, exchange_outlives_its_server)
{
    exchange_ptr open;
    int closed = 0;
    serve(
        [&](exchange_ptr const& it)
        {
            open = it;
            it->on_close([&] { ++closed; });
            it->start(200, {});
        });
    raw_client client(port);
    client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] { return open != nullptr; });
    server.reset();
    run_until([&] { return closed > 0; });
    open->write("late");
    open->finish();
    EXPECT_TRUE(client.at_end());
}

// Guards against a crash or a lost request when a caller sends the next request early.
TEST_F(http_test, pipelined_requests_are_answered_in_order)
{
    std::vector<exchange_ptr> open;
    serve([&](exchange_ptr const& it) { open.push_back(it); });
    raw_client client(port);
    client.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] { return open.size() == 1; });
    client.send("GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    auto const settle = timers.after(std::chrono::milliseconds(5), [&] { loop.stop(); });
    run();
    EXPECT_EQ(open.size(), 1U);
    open[0]->respond(200, {}, "first");
    run_until([&] { return open.size() == 2; });
    EXPECT_EQ(open[1]->target(), "/2");
    open[1]->respond(200, {}, "second");
    run_until(
        [&]
        {
            client.at_end();
            return client.received().find("second") != std::string::npos;
        });
    EXPECT_LT(client.received().find("first"), client.received().find("second"));
}

// Guards against unbounded buffering of what a caller sends during its own request.
TEST_F(http_test, bytes_sent_ahead_are_bounded)
{
    exchange_ptr open;
    serve([&](exchange_ptr const& it) { open = it; });
    raw_client const client(port);
    client.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] { return open != nullptr; });
    constexpr std::size_t flood_bytes = std::size_t{64} * 1024 * 1024;
    std::size_t sent = 0;
    int refused = 0;
    run_until(
        [&]
        {
            auto const n = client.try_send(std::string(1 << 20, 'x'));
            sent += n;
            refused = n == 0 ? refused + 1 : 0;
            return refused > 50 || sent > flood_bytes;
        });
    EXPECT_LT(sent, flood_bytes);
}

struct bad_request
{
    std::string name;
    std::string bytes;
    std::string status;
};

class http_refusal_test : public http_test, public testing::WithParamInterface<bad_request>
{
};

// Guards against malformed, ambiguous or oversized input that reaches a handler or stops the
// process. Ambiguous framing would let one caller's bytes count as another caller's request.
TEST_P(http_refusal_test, input_is_refused_before_the_handler)
{
    int handled = 0;
    http_limits limits;
    limits.max_header_bytes = 4096;
    limits.max_body_bytes = 4096;
    serve(
        [&](exchange_ptr const& it)
        {
            ++handled;
            it->respond(200, {}, "");
        },
        limits);
    raw_client client(port);
    client.send(GetParam().bytes);
    run_until([&] { return client.at_end(); });
    EXPECT_EQ(client.received().substr(0, 12), "HTTP/1.1 " + GetParam().status)
        << client.received().substr(0, 200);
    EXPECT_EQ(handled, 0);
    auto const out = run(request("GET", "/"));
    EXPECT_EQ(out.status, 200);
}

std::string const post = "POST / HTTP/1.1\r\nHost: x\r\n";

INSTANTIATE_TEST_SUITE_P(
    all, http_refusal_test,
    testing::Values(
        bad_request{"request_line", "nonsense\r\n\r\n", "400"},
        bad_request{"header_line", "GET / HTTP/1.1\r\nno colon\r\n\r\n", "400"},
        bad_request{"long_target", "GET /" + std::string(8000, 'a') + " HTTP/1.1\r\n\r\n", "400"},
        bad_request{"long_header", "GET / HTTP/1.1\r\nA: " + std::string(8000, 'a') + "\r\n\r\n",
                    "400"},
        bad_request{"long_body", post + "Content-Length: 8000\r\n\r\n" + std::string(8000, 'a'),
                    "413"},
        bad_request{"huge_length", post + "Content-Length: 99999999999999999999\r\n\r\n", "413"},
        bad_request{"long_chunk",
                    post + "Transfer-Encoding: chunked\r\n\r\n1f40\r\n" + std::string(8000, 'a') +
                        "\r\n0\r\n\r\n",
                    "413"},
        bad_request{"negative_length", post + "Content-Length: -5\r\n\r\n", "400"},
        bad_request{"length_with_sign", post + "Content-Length: +2\r\n\r\nab", "400"},
        bad_request{"bad_chunk_size", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n", "413"},
        bad_request{"two_lengths", post + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
                    "400"},
        bad_request{"length_and_chunks",
                    post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                    "400"},
        bad_request{"other_encoding",
                    post + "Content-Length: 2\r\nTransfer-Encoding: xchunked\r\n\r\nab", "400"},
        bad_request{"body_on_get", "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab",
                    "400"},
        bad_request{"unknown_method", "BREW / HTTP/1.1\r\nHost: x\r\n\r\n", "501"}),
    [](auto const& it) { return it.param.name; });

// Guards against a response to HEAD whose body the caller would read as the next response.
TEST_F(http_test, head_response_has_no_body)
{
    serve([](exchange_ptr const& it) { it->respond(200, {}, "body"); });
    raw_client client(port);
    client.send("HEAD / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    run_until([&] { return client.at_end(); });
    EXPECT_EQ(client.received().find("body"), std::string::npos);
}

// Guards against a response header whose value starts another header or response.
TEST_F(http_test, header_values_cannot_break_lines)
{
    serve([](exchange_ptr const& it) { it->respond(200, {{"A", "b\r\nInjected: yes"}}, ""); });
    auto const out = run(request("GET", "/"));
    EXPECT_EQ(out.status, 200);
    EXPECT_FALSE(find_header(out.headers, "Injected"));
}

// Guards against a shutdown that cuts off a running response or keeps connections open after it.
TEST_F(http_test, stopped_server_finishes_and_closes)
{
    exchange_ptr open;
    serve([&](exchange_ptr const& it) { open = it; });
    raw_client client(port);
    client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] { return open != nullptr; });
    server->stop_accepting();
    auto const refused = run(request("GET", "/"));
    ASSERT_TRUE(refused.failure);
    EXPECT_FALSE(refused.failure->written);
    open->respond(200, {}, "whole");
    run_until([&] { return client.at_end(); });
    EXPECT_NE(client.received().find("whole"), std::string::npos);
    EXPECT_EQ(server->open_exchanges(), 0U);
}

// Guards against a port conflict that goes unnoticed.
TEST_F(http_test, listening_on_a_used_port_names_the_address)
{
    serve([](exchange_ptr const&) {});
    http_server other(loop, {}, [](exchange_ptr const&) {});
    base::error reason;
    EXPECT_FALSE(other.listen({"127.0.0.1", port}, reason));
    EXPECT_NE(reason.message.find("127.0.0.1:" + std::to_string(port)), std::string::npos);
    EXPECT_FALSE(other.listen({"localhost", 0}, reason));
    EXPECT_EQ(reason.kind, base::error_kind::invalid_input);
}

} // namespace
} // namespace savorymount::runtime
