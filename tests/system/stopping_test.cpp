#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <tests/system/support/platform_deployment.hpp>
#include <thread>

namespace savorymount::tests
{
namespace
{

using std::chrono::duration;
using std::chrono::steady_clock;

constexpr std::size_t body_bytes = std::size_t{3} * 1024 * 1024;
constexpr std::size_t answer_bytes = body_bytes + std::char_traits<char>::length("booked ");

/// A client on a blocking socket with a small receive buffer.
class slow_client
{
public:
    explicit slow_client(runtime::network_address const& address)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        int const receive_buffer = 32 * 1024;
        setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
        int const segment = 1460;
        setsockopt(socket_, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(address.port);
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(connect(socket_, reinterpret_cast<sockaddr*>(&name), sizeof(name)), 0);
    }

    ~slow_client() { close(socket_); }
    slow_client(slow_client const&) = delete;
    slow_client& operator=(slow_client const&) = delete;

    void send(std::string const& bytes)
    {
        for (std::size_t sent = 0; sent < bytes.size();)
        {
            auto const n = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return;
            sent += static_cast<std::size_t>(n);
        }
    }

    void end_sending() { shutdown(socket_, SHUT_WR); }

    /// Reads what arrives for `seconds`, at most `bytes_per_second`. False once the connection has
    /// ended.
    bool read_for(double seconds, std::size_t bytes_per_second)
    {
        std::string bytes(bytes_per_second / steps_per_second, '\0');
        for (int i = 0; i < static_cast<int>(seconds * steps_per_second); ++i)
        {
            pollfd it{socket_, POLLIN, 0};
            if (poll(&it, 1, 0) > 0)
            {
                auto const n = recv(socket_, bytes.data(), bytes.size(), 0);
                if (n <= 0)
                    return false;
                received_.append(bytes.data(), static_cast<std::size_t>(n));
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1000 / steps_per_second));
        }
        return true;
    }

    /// The length of the body of the first answer that has arrived.
    std::size_t body_size() const
    {
        auto const head_end = received_.find("\r\n\r\n");
        return head_end == std::string::npos ? 0 : received_.size() - head_end - 4;
    }

    std::string const& received() const { return received_; }

private:
    static constexpr int steps_per_second = 50;

    int socket_;
    std::string received_;
};

std::string booking(std::string const& id, std::string const& more = "",
                    std::size_t length = body_bytes)
{
    return "POST /b/slot HTTP/1.1\r\nHost: chat.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: 15000\r\nAuthorization: Bearer key-a\r\n" + more +
           "Content-Length: " + std::to_string(length) + "\r\n\r\n" + std::string(length, 'x');
}

class stopping_test : public testing::Test
{
protected:
    /// Sends a request whose answer is larger than the kernel's buffers, and waits until the
    /// gateway holds the whole answer.
    void ask(slow_client& client, std::string const& id, std::string const& more = "")
    {
        client.send(booking(id, more));
        system.wait_until([&] { return ran(id); });
        client.read_for(0.5, 100'000);
    }

    bool ran(std::string const& id) { return system.state()["desk-0"]["executions"].contains(id); }

    process& gateway() { return system.gateway(0); }

    platform_deployment system{1, {"--grace-s", "12"}};
};

// Guards against a stop that cuts answers that were handed over before it, on kept connections and
// on connections that end with their answer.
TEST_F(stopping_test, delivers_answers_that_clients_still_read)
{
    slow_client kept(system.http(0));
    slow_client closing(system.http(0));
    ask(kept, "kept");
    ask(closing, "closing", "Connection: close\r\n");
    gateway().send_signal(SIGTERM);
    std::thread other([&] { closing.read_for(5.5, 700'000); });
    kept.read_for(5.5, 700'000);
    other.join();
    EXPECT_EQ(kept.body_size(), answer_bytes);
    EXPECT_EQ(closing.body_size(), answer_bytes);
    EXPECT_EQ(gateway().wait(), 0);
    EXPECT_EQ(gateway().output().find("name=answers_cut"), std::string::npos);
}

// Guards against an answer of a connection with pipelined requests, or to an erroneous request,
// that a stop cuts.
TEST_F(stopping_test, delivers_pipelined_answers_and_answers_after_errors)
{
    slow_client client(system.http(0));
    client.send(booking("first"));
    client.send(booking("second", "", 10));
    client.send("nonsense\r\n\r\n");
    system.wait_until([&] { return ran("second"); });
    client.read_for(0.5, 100'000);
    gateway().send_signal(SIGTERM);
    client.read_for(6, 700'000);
    EXPECT_NE(client.received().find("booked xxxxxxxxxxHTTP/1.1 400 "), std::string::npos);
    EXPECT_GT(client.received().size(), answer_bytes);
    EXPECT_EQ(gateway().wait(), 0);
}

// Guards against the end of a stop that is delayed by a client that never reads, and against a cut
// of which nothing is logged.
TEST_F(stopping_test, cuts_a_client_that_reads_nothing)
{
    slow_client client(system.http(0));
    ask(client, "unread");
    auto const begin = steady_clock::now();
    gateway().send_signal(SIGTERM);
    EXPECT_EQ(gateway().wait(), 0);
    EXPECT_LT(duration<double>(steady_clock::now() - begin).count(), 9);
    EXPECT_NE(gateway().output().find("name=client_stalled"), std::string::npos)
        << gateway().output();
}

// Guards against a request that is passed on although the process ends before its time limit, and
// is cut then.
TEST_F(stopping_test, refuses_a_request_whose_time_limit_is_after_the_end)
{
    slow_client client(system.http(0));
    auto const request = booking("late", "", 1000);
    client.send(request.substr(0, request.size() - 1));
    gateway().send_signal(SIGTERM);
    client.read_for(4, 100'000);
    // The upstream takes the request and does not answer.
    system.platform().send_signal(SIGSTOP);
    client.send(request.substr(request.size() - 1));
    EXPECT_FALSE(client.read_for(9, 100'000));
    EXPECT_TRUE(client.received().starts_with("HTTP/1.1 503 ")) << client.received();
    EXPECT_NE(client.received().find("this instance stops"), std::string::npos);
    EXPECT_EQ(gateway().wait(), 0);
    system.platform().send_signal(SIGCONT);
    EXPECT_FALSE(ran("late"));
}

// Guards against a caller whose request is cut without an answer at the end of the process.
TEST_F(stopping_test, answers_a_request_that_still_runs_at_the_end)
{
    slow_client client(system.http(0));
    system.platform().send_signal(SIGSTOP);
    client.send(booking("running", "", 10));
    client.read_for(0.5, 100'000);
    gateway().send_signal(SIGTERM);
    EXPECT_FALSE(client.read_for(13, 100'000));
    EXPECT_TRUE(client.received().starts_with("HTTP/1.1 502 "))
        << client.received() << gateway().output();
    EXPECT_EQ(gateway().wait(), 0);
    system.platform().send_signal(SIGCONT);
}

// Guards against an answer that is cut because its client reads nothing for some seconds, and
// against an idle connection that is kept after its answer was accepted.
TEST_F(stopping_test, serves_a_client_that_pauses_and_closes_its_connection_after_the_answer)
{
    slow_client client(system.http(0));
    ask(client, "paused");
    std::this_thread::sleep_for(std::chrono::milliseconds(3800));
    EXPECT_TRUE(client.read_for(2, 6'000'000));
    EXPECT_EQ(client.body_size(), answer_bytes);
    gateway().send_signal(SIGTERM);
    EXPECT_FALSE(client.read_for(5, 100'000));
    EXPECT_EQ(gateway().wait(), 0);
}

// Guards against an answer that is cut because its client has ended its sending side.
TEST_F(stopping_test, delivers_a_complete_answer_to_a_client_that_ended_its_sending_side)
{
    slow_client client(system.http(0));
    ask(client, "half-closed");
    client.end_sending();
    EXPECT_FALSE(client.read_for(8, 3'000'000));
    EXPECT_EQ(client.body_size(), answer_bytes);
}

} // namespace
} // namespace savorymount::tests
