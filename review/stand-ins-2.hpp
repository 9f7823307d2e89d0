// Stand-ins for the scripts of this review, written from the users' pages: the platform's store, engines, clients, and
// the start of the gateway with the deploy file's command and template. Loopback addresses and real time only.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

using steady = std::chrono::steady_clock;

inline steady::time_point const began_at = steady::now();

inline double now_s()
{
    return std::chrono::duration<double>(steady::now() - began_at).count();
}

inline void sleep_ms(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

inline void sleep_until_s(double at)
{
    while (now_s() < at)
        sleep_ms(std::min(20.0, std::max(0.1, (at - now_s()) * 1000)));
}

/// The record of what was sent, answered and run: record.txt in the folder of the case.
class record_file
{
public:
    explicit record_file(std::string const& path) : out_(path) {}
    void line(std::string const& text)
    {
        std::lock_guard const lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", now_s());
        out_ << time << text << "\n";
        out_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

// ---------------------------------------------------------------- sockets and HTTP

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

inline int listen_on_free_port(std::uint16_t& port)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto name = loopback(0);
    if (bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0 || listen(fd, 1024) != 0)
    {
        std::perror("listen");
        std::exit(2);
    }
    socklen_t size = sizeof(name);
    getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
    port = ntohs(name.sin_port);
    return fd;
}

inline std::uint16_t free_port(int type)
{
    int const fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    auto name = loopback(0);
    bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name));
    socklen_t size = sizeof(name);
    getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
    close(fd);
    return ntohs(name.sin_port);
}

inline int connect_to(std::uint16_t port, double timeout_s = 1.0)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto name = loopback(port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0 && errno != EINPROGRESS)
    {
        close(fd);
        return -1;
    }
    pollfd p{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (poll(&p, 1, static_cast<int>(timeout_s * 1000)) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
    {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    int const on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool send_all(int fd, std::string const& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        auto const n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

using headers_t = std::vector<std::pair<std::string, std::string>>;

inline std::string find(headers_t const& headers, char const* name)
{
    for (auto const& [key, value] : headers)
    {
        if (strcasecmp(key.c_str(), name) == 0)
            return value;
    }
    return "";
}

/// A request at a stand-in, or an answer at a client.
struct message
{
    std::string start_line, method, target, body;
    int status = 0;
    headers_t headers;
};

/// Reads messages from one connection.
class reader
{
public:
    explicit reader(int fd) : fd_(fd) {}

    /// Waits until the deadline for the next head. Empty if the connection ended or time is up.
    std::optional<message> head(double deadline_s)
    {
        std::size_t end;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
        {
            if (!more(deadline_s))
                return std::nullopt;
        }
        message out;
        std::istringstream in(buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        std::string line;
        while (std::getline(in, line))
        {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            if (out.start_line.empty())
            {
                out.start_line = line;
                continue;
            }
            auto const colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' ') == std::string::npos
                               ? value.size()
                               : value.find_first_not_of(' '));
            out.headers.emplace_back(line.substr(0, colon), value);
        }
        auto const space = out.start_line.find(' ');
        auto const second = out.start_line.find(' ', space + 1);
        if (out.start_line.starts_with("HTTP/"))
            out.status = std::atoi(out.start_line.c_str() + space + 1);
        else
        {
            out.method = out.start_line.substr(0, space);
            out.target = out.start_line.substr(space + 1, second - space - 1);
        }
        return out;
    }

    /// Reads the body by its length or chunks; false if it is cut.
    bool body(message& it, double deadline_s, std::function<void(std::string const&)> const& piece = nullptr)
    {
        if (strcasecmp(find(it.headers, "Transfer-Encoding").c_str(), "chunked") == 0)
        {
            for (;;)
            {
                std::size_t end;
                while ((end = buffer_.find("\r\n")) == std::string::npos)
                {
                    if (!more(deadline_s))
                        return false;
                }
                auto const size = std::strtoul(buffer_.c_str(), nullptr, 16);
                while (buffer_.size() < end + 2 + size + 2)
                {
                    if (!more(deadline_s))
                        return false;
                }
                auto const bytes = buffer_.substr(end + 2, size);
                buffer_.erase(0, end + 2 + size + 2);
                if (size == 0)
                    return true;
                it.body += bytes;
                if (piece)
                    piece(bytes);
            }
        }
        auto const size = std::strtoul(find(it.headers, "Content-Length").c_str(), nullptr, 10);
        while (buffer_.size() < size)
        {
            if (!more(deadline_s))
                return false;
        }
        it.body = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return true;
    }

    /// Whether the peer has closed the connection.
    bool peer_left()
    {
        pollfd p{fd_, POLLIN, 0};
        if (poll(&p, 1, 0) <= 0)
            return false;
        char byte;
        return recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0 && errno != EAGAIN;
    }

private:
    bool more(double deadline_s)
    {
        auto const left = deadline_s - now_s();
        if (left <= 0)
            return false;
        pollfd p{fd_, POLLIN, 0};
        if (poll(&p, 1, static_cast<int>(left * 1000) + 1) != 1)
            return false;
        char bytes[65536];
        auto const n = recv(fd_, bytes, sizeof(bytes), 0);
        if (n <= 0)
            return false;
        buffer_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    int fd_;
    std::string buffer_;
};

inline std::string response(int status, headers_t const& headers, std::string const& body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " x\r\n";
    for (auto const& [key, value] : headers)
        out += key + ": " + value + "\r\n";
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A server with one thread a connection.
class server
{
public:
    using handler = std::function<bool(int fd, reader& in, message& request)>;

    explicit server(handler it) : handler_(std::move(it))
    {
        fd_ = listen_on_free_port(port_);
        std::thread([this] { accept_all(); }).detach();
    }
    std::uint16_t port() const { return port_; }

private:
    void accept_all()
    {
        for (;;)
        {
            int const fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            int const on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread(
                [this, fd]
                {
                    reader in(fd);
                    for (;;)
                    {
                        auto request = in.head(now_s() + 60);
                        if (!request || !in.body(*request, now_s() + 30) || !handler_(fd, in, *request))
                            break;
                    }
                    close(fd);
                })
                .detach();
        }
    }

    handler handler_;
    int fd_ = -1;
    std::uint16_t port_ = 0;
};

inline std::string query(std::string const& target, std::string const& name)
{
    auto const at = target.find(name + "=");
    if (at == std::string::npos)
        return "";
    auto const from = at + name.size() + 1;
    std::string raw = target.substr(from, target.find('&', from) - from), out;
    for (std::size_t i = 0; i < raw.size(); ++i)
    {
        if (raw[i] == '%' && i + 2 < raw.size())
        {
            out += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
            out += raw[i];
    }
    return out;
}

inline std::string base64(std::string const& in)
{
    char const* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3)
    {
        unsigned v = static_cast<unsigned char>(in[i]) << 16;
        if (i + 1 < in.size())
            v |= static_cast<unsigned char>(in[i + 1]) << 8;
        if (i + 2 < in.size())
            v |= static_cast<unsigned char>(in[i + 2]);
        out += digits[v >> 18 & 63];
        out += digits[v >> 12 & 63];
        out += i + 1 < in.size() ? digits[v >> 6 & 63] : '=';
        out += i + 2 < in.size() ? digits[v & 63] : '=';
    }
    return out;
}

/// The number behind a name in a flat JSON text.
inline std::string json_field(std::string const& json, std::string const& name)
{
    auto at = json.find("\"" + name + "\":");
    if (at == std::string::npos)
        return "";
    at += name.size() + 3;
    while (at < json.size() && json[at] == ' ')
        ++at;
    if (json[at] == '"')
        return json.substr(at + 1, json.find('"', at + 1) - at - 1);
    return json.substr(at, json.find_first_of(",}", at) - at);
}

// ---------------------------------------------------------------- the platform's store

class store
{
public:
    store() : server_([this](int fd, reader&, message& it) { return handle(fd, it); }) {}
    std::uint16_t port() const { return server_.port(); }

    void put(std::string const& topic, std::string const& key, std::string const& value)
    {
        std::lock_guard const lock(mutex_);
        topics_[topic].push_back({key, value});
        changed_.notify_all();
    }

private:
    struct entry
    {
        std::string key, value;
    };

    bool handle(int fd, message const& it)
    {
        auto const topic = query(it.target, "topic");
        headers_t const json{{"Content-Type", "application/json"}};
        std::unique_lock lock(mutex_);
        if (it.target.starts_with("/-/log-append"))
        {
            auto& all = topics_[topic];
            auto const at = query(it.target, "at");
            if (!at.empty() && std::stoul(at) != all.size())
                return send_all(fd, response(412, json, "{\"end\":" + std::to_string(all.size()) + "}"));
            auto const offset = all.size();
            for (std::size_t n = 0; n + 4 <= it.body.size();)
            {
                auto const* b = reinterpret_cast<unsigned char const*>(it.body.data() + n);
                std::size_t const length = std::size_t{b[0]} << 24 | b[1] << 16 | b[2] << 8 | b[3];
                std::size_t const key_length = b[4];
                all.push_back({it.body.substr(n + 5, key_length),
                               it.body.substr(n + 5 + key_length, length - 1 - key_length)});
                n += 4 + length;
            }
            changed_.notify_all();
            auto const answer =
                "{\"offset\":" + std::to_string(offset) + ",\"end\":" + std::to_string(all.size()) + "}";
            lock.unlock();
            sleep_ms(4);
            return send_all(fd, response(200, json, answer));
        }
        if (it.target.starts_with("/-/log-newest"))
        {
            std::map<std::string, std::size_t> newest;
            auto const& all = topics_[topic];
            for (std::size_t n = 0; n < all.size(); ++n)
                newest[all[n].key] = n;
            std::string items;
            auto const after = query(it.target, "after");
            for (auto const& [key, n] : newest)
            {
                if (all[n].value.empty() || (!after.empty() && key <= after))
                    continue;
                items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" + key + "\",\"value\":\"" +
                         base64(all[n].value) + "\",\"offset\":" + std::to_string(n) + "}";
            }
            auto const answer =
                "{\"items\":[" + items + "],\"more\":false,\"end\":" + std::to_string(all.size()) + "}";
            lock.unlock();
            sleep_ms(4);
            return send_all(fd, response(200, json, answer));
        }
        if (it.target.starts_with("/-/log-read"))
        {
            auto const from = std::stoul("0" + query(it.target, "from"));
            auto const wait = std::stoul("0" + query(it.target, "waitMs"));
            changed_.wait_for(lock, std::chrono::milliseconds(wait), [&] { return topics_[topic].size() > from; });
            auto const& all = topics_[topic];
            std::string out;
            auto const number = [&out](std::uint64_t value, int bytes)
            {
                for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
                    out += static_cast<char>(value >> shift & 255);
            };
            number(all.size(), 8);
            number(0, 8);
            for (auto n = from; n < all.size(); ++n)
            {
                number(1 + all[n].key.size() + all[n].value.size(), 4);
                out += static_cast<char>(all[n].key.size());
                out += all[n].key + all[n].value;
            }
            lock.unlock();
            sleep_ms(4);
            return send_all(fd, response(200, {}, out));
        }
        return send_all(fd, response(404, json, "{}"));
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<entry>> topics_;
    server server_;
};

// ---------------------------------------------------------------- engines

/// What an engine was sent.
struct run
{
    double at;
    std::string request, tenant, salt, prefix, path;
    headers_t headers;
};

/// An engine of one service; it registers itself and beats every 1.2 s.
class engine
{
public:
    /// Answers a request that runs; the default answers 200 at once.
    using work = std::function<bool(engine&, int fd, reader&, message const&)>;

    engine(store& platform, record_file& record, std::string service, std::string id, std::string model, int slots,
           work it = nullptr)
        : platform_(platform), record_(record), service_(std::move(service)), id_(std::move(id)),
          model_(std::move(model)), slots_(slots), work_(std::move(it)),
          server_([this](int fd, reader& in, message& m) { return handle(fd, in, m); })
    {
        std::thread(
            [this]
            {
                for (;;)
                {
                    beat();
                    sleep_ms(1200);
                }
            })
            .detach();
    }

    std::uint16_t port() const { return server_.port(); }
    std::string const& id() const { return id_; }
    int orders() const { return orders_; }
    void set_state(std::string state)
    {
        {
            std::lock_guard const lock(mutex_);
            state_ = std::move(state);
        }
        beat();
    }
    std::vector<run> runs() const
    {
        std::lock_guard const lock(mutex_);
        return runs_;
    }

    headers_t answer_headers(message const& request) const
    {
        headers_t out{{"X-Request-Id", find(request.headers, "X-Request-Id")},
                      {"X-Instance-Id", id_},
                      {"X-Response-Stamp", "stamp." + id_ + "." + find(request.headers, "X-Request-Id")}};
        if (!model_.empty())
            out.emplace_back("X-Weight-Versions", "1");
        return out;
    }

    /// Sends a whole stream of events, one every `gap_ms`; stops when the caller left.
    bool stream(int fd, reader& in, message const& request, int events, double gap_ms)
    {
        std::string head = "HTTP/1.1 200 x\r\n";
        for (auto const& [key, value] : answer_headers(request))
            head += key + ": " + value + "\r\n";
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        if (!send_all(fd, head))
            return false;
        for (int n = 1; n <= events; ++n)
        {
            auto const text = "id: " + std::to_string(n) + "\ndata: token\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
            if (in.peer_left() || !send_all(fd, size + text + "\r\n"))
                return false;
            if (n < events)
                sleep_ms(gap_ms);
        }
        return send_all(fd, "0\r\n\r\n");
    }

private:
    void beat()
    {
        std::lock_guard const lock(mutex_);
        std::string const models =
            model_.empty() ? "[]" : "[{\"name\":\"" + model_ + "\",\"version\":1,\"adapters\":[]}]";
        platform_.put("keyed.servers", id_,
                      "{\"service\":\"" + service_ + "\",\"address\":\"127.0.0.1:" + std::to_string(server_.port()) +
                          "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" + std::to_string(slots_) +
                          ",\"state\":\"" + state_ + "\",\"coldLeftMs\":0,\"stage\":\"both\",\"models\":" + models +
                          ",\"sequence\":" + std::to_string(++beats_) + ",\"born\":1750000000000}");
    }

    bool handle(int fd, reader& in, message& it)
    {
        headers_t const json{{"Content-Type", "application/json"}, {"X-Instance-Id", id_},
                             {"X-Request-Id", find(it.headers, "X-Request-Id")}};
        if (it.target == "/-/report")
            return send_all(fd, response(200, json,
                                         "{\"stage\":\"both\",\"models\":[{\"name\":\"" + model_ +
                                             "\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"sequence\":0,"
                                             "\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":90000,"
                                             "\"handles\":0}"));
        if (it.target == "/health")
            return send_all(fd, response(200, json, ""));
        if (it.target.starts_with("/-/"))
        {
            // No script names a version other than 1, so every order is for one that was not named.
            record_.line("order  " + it.target + " at " + id_ + " body=" + it.body + " -> 400");
            ++orders_;
            return send_all(fd, response(400, json, "{}"));
        }
        auto const expected = find(it.headers, "X-Expect-Instance");
        auto const version = find(it.headers, "X-Expect-Version");
        if ((!expected.empty() && expected != id_) || (!version.empty() && version != "1"))
        {
            auto headers = json;
            headers.emplace_back("X-Not-Executed", "1");
            return send_all(fd, response(421, headers, ""));
        }
        if (work_)
            return work_(*this, fd, in, it);
        note_run(it);
        return send_all(fd, response(200, answer_headers(it), "done"));
    }

public:
    void note_run(message const& it, bool in_record = true)
    {
        run out{now_s(), find(it.headers, "X-Request-Id"), find(it.headers, "X-Tenant"),
                find(it.headers, "X-Cache-Salt"), find(it.headers, "X-Prompt-Prefix"), it.target, {}};
        if (in_record)
            record_.line("run    " + out.request + " at " + id_ + " tenant=" + out.tenant + " salt=" + out.salt);
        std::lock_guard const lock(mutex_);
        runs_.push_back(std::move(out));
    }

private:
    store& platform_;
    record_file& record_;
    std::string service_, id_, model_, state_ = "ready";
    int slots_, beats_ = 0;
    std::atomic<int> orders_{0};
    work work_;
    mutable std::mutex mutex_;
    std::vector<run> runs_;
    server server_;
};

// ---------------------------------------------------------------- the gateway

/// One gateway: the command and the settings of the deploy file, on free ports.
class gateway
{
public:
    gateway(std::string const& name, std::uint16_t store_port, std::map<std::string, std::string> bounds = {},
            std::string const& memory_mb = "110")
        : name_(name), memory_mb_(memory_mb)
    {
        folder_ = temporary_folder();
        std::map<std::string, std::string> values{
            {"nodeName", name},
            {"zone", "zone-a"},
            {"listen.frontend", address(front_ = free_port(SOCK_STREAM))},
            {"listen.readiness", address(ready_ = free_port(SOCK_STREAM))},
            {"ip", "127.0.0.1"},
            {"internalPorts.0", std::to_string(free_port(SOCK_DGRAM))},
            {"internalPorts.1", std::to_string(metrics_ = free_port(SOCK_STREAM))},
            {"platform.address", address(store_port)},
            {"bootstrap", "true"},
            {"limits.linkMbps", "1000.0"},
            {"bounds.graceS", "8"},
            {"bounds.leaseMs", "3000"},
            {"bounds.versionMs", "8000"},
            {"bounds.drainMs", "2000"},
            {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.retrySlack", "52"},
            {"bounds.retryWindowS", "10"},
            {"bounds.quotaWindowS", "8"},
            {"bounds.quotaSlack", "110000"}};
        for (auto& [key, value] : bounds)
            values[key] = value;
        values_ = values;
        start();
    }

    /// Fills in the template as the platform does and starts the program of the deploy file.
    void start()
    {
        std::ifstream in("deploy/gateway.settings");
        std::stringstream text;
        text << in.rdbuf();
        auto settings = text.str();
        for (auto const& [key, value] : values_)
        {
            auto const mark = "{{" + key + "}}";
            for (std::size_t at; (at = settings.find(mark)) != std::string::npos;)
                settings.replace(at, mark.size(), value);
        }
        auto const path = folder_ + "/node-" + name_ + ".settings";
        std::ofstream(path) << settings;
        values_["bootstrap"] = "false";
        pid_ = fork();
        if (pid_ == 0)
        {
            // It must not outlive the script, however that ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            int const log = open((folder_ + "/" + name_ + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            setenv("SAVORYMOUNT_SETTINGS", path.c_str(), 1);
            execl("target/savorymount-gateway", "target/savorymount-gateway", "--memory-mb", memory_mb_.c_str(),
                  nullptr);
            _exit(127);
        }
    }

    ~gateway() { stop(); }
    void stop()
    {
        if (pid_ > 0)
        {
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
        }
        pid_ = -1;
    }
    /// Whether the process still runs.
    bool running()
    {
        if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_)
            pid_ = -1;
        return pid_ > 0;
    }
    void signal(int number) const { kill(pid_, number); }
    std::uint16_t front() const { return front_; }
    std::uint16_t ready() const { return ready_; }
    pid_t pid() const { return pid_; }

    /// Resident memory in MB, now and at its peak, as the platform sees it.
    double resident_mb(char const* field = "VmRSS:") const
    {
        std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
        std::string word;
        while (in >> word)
        {
            if (word == field)
            {
                double kb = 0;
                in >> kb;
                return kb * 1024 / 1e6;
            }
        }
        return 0;
    }

    bool wait_until_ready(double seconds = 10)
    {
        auto const until = now_s() + seconds;
        while (now_s() < until)
        {
            int const fd = connect_to(ready_);
            if (fd >= 0)
            {
                reader in(fd);
                send_all(fd, "GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n");
                auto const it = in.head(now_s() + 1);
                close(fd);
                if (it && it->status == 200)
                    return true;
            }
            sleep_ms(50);
        }
        return false;
    }

    static std::string const& temporary_folder()
    {
        static std::string const out = []
        {
            char const* base = std::getenv("CASE_TMP");
            return std::string(base != nullptr ? base : ".");
        }();
        return out;
    }

private:
    static std::string address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

    std::string name_, memory_mb_, folder_;
    std::map<std::string, std::string> values_;
    std::uint16_t front_ = 0, ready_ = 0, metrics_ = 0;
    pid_t pid_ = -1;
    int status_ = 0;
};

// ---------------------------------------------------------------- clients

/// How one request ended; status 0 means without an answer, and `whole` tells whether it was complete.
struct outcome
{
    int status = 0;
    bool whole = false, read = true;
    std::string stamp, body;
    double took_s = 0;
};

inline std::string request_text(std::string const& method, std::string const& target, headers_t const& headers,
                                std::string const& body)
{
    std::string out = method + " " + target + " HTTP/1.1\r\n";
    for (auto const& [key, value] : headers)
        out += key + ": " + value + "\r\n";
    if (!body.empty() || method != "GET")
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return out + "\r\n" + body;
}

/// Sends one request on a new connection and waits for its answer.
inline outcome call(std::uint16_t port, std::string const& text, double limit_s)
{
    outcome out;
    auto const start = now_s();
    int const fd = connect_to(port, std::min(1.0, limit_s));
    if (fd < 0)
    {
        out.read = false;
        return out;
    }
    reader in(fd);
    if (send_all(fd, text))
    {
        if (auto it = in.head(start + limit_s))
        {
            out.status = it->status;
            out.stamp = find(it->headers, "X-Response-Stamp");
            out.whole = in.body(*it, start + limit_s);
            out.body = it->body;
        }
    }
    close(fd);
    out.took_s = now_s() - start;
    return out;
}

inline bool trouble()
{
    char const* it = std::getenv("TROUBLE");
    return it == nullptr || std::string(it) != "0";
}

inline std::string case_folder()
{
    char const* it = std::getenv("CASE_DIR");
    return it != nullptr ? it : ".";
}

/// Ends the driver without waiting for the threads of its servers.
[[noreturn]] inline void leave(int status)
{
    std::cout.flush();
    std::cerr.flush();
    _exit(status);
}

} // namespace review
