#pragma once

// A small HTTP/1.1 layer over blocking sockets, for the stand-ins and clients of the review.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using steady = std::chrono::steady_clock;

/// Milliseconds since the first call.
inline double now_ms()
{
    static auto const start = steady::now();
    return std::chrono::duration<double, std::milli>(steady::now() - start).count();
}

inline void sleep_ms(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

/// Writes one line to the record of the run; thread-safe.
class recorder
{
public:
    explicit recorder(std::string const& path) : file_(std::fopen(path.c_str(), "w")) {}

    template <typename... Values>
    void line(char const* format, Values... values)
    {
        std::lock_guard const lock(mutex_);
        std::fprintf(file_, "%9.1f ms  ", now_ms());
        std::fprintf(file_, format, values...);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::FILE* file_;
    std::mutex mutex_;
};

using headers = std::vector<std::pair<std::string, std::string>>;

inline bool same_name(std::string const& left, std::string const& right)
{
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(), [](char a, char b)
                      { return std::tolower((unsigned char)a) == std::tolower((unsigned char)b); });
}

inline std::string find(headers const& all, std::string const& name)
{
    for (auto const& it : all)
    {
        if (same_name(it.first, name))
            return it.second;
    }
    return {};
}

/// One head of a message: its first line and its header fields.
struct head
{
    std::string first_line;
    headers fields;

    std::string field(std::string const& name) const { return find(fields, name); }
    int status() const { return first_line.size() < 12 ? 0 : std::atoi(first_line.c_str() + 9); }
    std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    std::string target() const
    {
        auto const begin = first_line.find(' ') + 1;
        return first_line.substr(begin, first_line.find(' ', begin) - begin);
    }
};

inline int connect_to(int port, int receive_buffer = 0, int segment = 0)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (receive_buffer > 0)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    if (segment > 0)
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, "127.0.0.1", &name.sin_addr);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0)
        return fd;
    ::close(fd);
    return -1;
}

/// One connection with a read buffer.
class connection
{
public:
    explicit connection(int fd) : fd_(fd) {}
    ~connection() { close(); }
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    int fd() const { return fd_; }
    bool open() const { return fd_ >= 0; }
    void close()
    {
        if (fd_ >= 0)
            ::close(std::exchange(fd_, -1));
    }

    bool send(std::string const& bytes)
    {
        std::size_t sent = 0;
        while (fd_ >= 0 && sent < bytes.size())
        {
            auto const n = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return fd_ >= 0;
    }

    /// Whether the peer has closed or reset the connection; reads nothing.
    bool peer_gone() const
    {
        char byte = 0;
        auto const n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// Reads what is there into the buffer; false at the end, on a reset or at the deadline.
    bool fill(double until_ms, std::size_t most = 65536)
    {
        double const left = until_ms - now_ms();
        pollfd it{fd_, POLLIN, 0};
        if (left <= 0 || ::poll(&it, 1, static_cast<int>(left) + 1) != 1)
        {
            timed_out_ = true;
            return false;
        }
        std::string bytes(most, '\0');
        auto const n = ::recv(fd_, bytes.data(), bytes.size(), 0);
        if (n <= 0)
        {
            reset_ = n < 0;
            return false;
        }
        buffer_.append(bytes, 0, static_cast<std::size_t>(n));
        return true;
    }

    std::optional<std::string> read_line(double until_ms)
    {
        for (;;)
        {
            auto const end = buffer_.find("\r\n");
            if (end != std::string::npos)
            {
                auto line = buffer_.substr(0, end);
                buffer_.erase(0, end + 2);
                return line;
            }
            if (!fill(until_ms))
                return std::nullopt;
        }
    }

    std::optional<std::string> read_bytes(std::size_t n, double until_ms)
    {
        while (buffer_.size() < n)
        {
            if (!fill(until_ms))
                return std::nullopt;
        }
        auto out = buffer_.substr(0, n);
        buffer_.erase(0, n);
        return out;
    }

    std::optional<head> read_head(double until_ms)
    {
        auto first = read_line(until_ms);
        if (!first)
            return std::nullopt;
        head out{*first, {}};
        for (;;)
        {
            auto const line = read_line(until_ms);
            if (!line)
                return std::nullopt;
            if (line->empty())
                return out;
            auto const colon = line->find(':');
            auto value = colon == std::string::npos ? "" : line->substr(colon + 1);
            value.erase(0, value.find_first_not_of(' ') == std::string::npos
                               ? value.size()
                               : value.find_first_not_of(' '));
            out.fields.emplace_back(line->substr(0, colon), value);
        }
    }

    /// Reads one chunk of a body in chunks; empty at its end, no value if it is cut.
    std::optional<std::string> read_chunk(double until_ms)
    {
        auto const line = read_line(until_ms);
        if (!line)
            return std::nullopt;
        auto const size = std::strtoul(line->c_str(), nullptr, 16);
        auto bytes = read_bytes(size, until_ms);
        if (!bytes || !read_line(until_ms))
            return std::nullopt;
        return bytes;
    }

    bool timed_out() const { return timed_out_; }
    bool was_reset() const { return reset_; }
    std::size_t buffered() const { return buffer_.size(); }

private:
    int fd_;
    std::string buffer_;
    bool timed_out_ = false;
    bool reset_ = false;
};

/// The body of a message with this head; no value if it is cut.
inline std::optional<std::string> read_body(connection& from, head const& it, double until_ms)
{
    if (same_name(it.field("Transfer-Encoding"), "chunked"))
    {
        std::string out;
        for (;;)
        {
            auto const chunk = from.read_chunk(until_ms);
            if (!chunk)
                return std::nullopt;
            if (chunk->empty())
                return out;
            out += *chunk;
        }
    }
    return from.read_bytes(std::strtoul(it.field("Content-Length").c_str(), nullptr, 10), until_ms);
}

inline std::string response(int status, headers const& fields, std::string const& body)
{
    auto out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (auto const& it : fields)
        out += it.first + ": " + it.second + "\r\n";
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chunk_of(std::string const& bytes)
{
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

/// Serves one port with one thread a connection, until it is stopped.
class server
{
public:
    using handler = std::function<void(connection&, head const&, std::string const& body)>;

    explicit server(handler hook, int port = 0) : hook_(std::move(hook))
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const on = 1;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, "127.0.0.1", &name.sin_addr);
        if (::bind(listener_, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0 ||
            ::listen(listener_, 256) != 0)
            std::exit(2);
        socklen_t size = sizeof name;
        getsockname(listener_, reinterpret_cast<sockaddr*>(&name), &size);
        port_ = ntohs(name.sin_port);
        std::thread([this] { accept_all(); }).detach();
    }

    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    /// Ends the server as the end of its process would: closes the port and all connections.
    void stop()
    {
        std::lock_guard const lock(mutex_);
        stopped_ = true;
        ::shutdown(listener_, SHUT_RDWR);
        ::close(listener_);
        for (int const fd : open_)
            ::shutdown(fd, SHUT_RDWR);
    }

private:
    void accept_all()
    {
        for (;;)
        {
            int const fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            int const on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                std::lock_guard const lock(mutex_);
                if (stopped_)
                {
                    ::close(fd);
                    return;
                }
                open_.insert(fd);
            }
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        connection it(fd);
        for (;;)
        {
            auto const request = it.read_head(now_ms() + 1e6);
            if (!request)
                break;
            auto const body = read_body(it, *request, now_ms() + 1e6);
            if (!body)
                break;
            hook_(it, *request, *body);
            if (!it.open())
                break;
        }
        std::lock_guard const lock(mutex_);
        open_.erase(fd);
        it.close();
    }

    handler hook_;
    int listener_ = -1;
    int port_ = 0;
    std::mutex mutex_;
    std::set<int> open_;
    bool stopped_ = false;
};

} // namespace review
