#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <string_view>
#include <sys/socket.h>
#include <tests/crowds/crowd_client.hpp>
#include <unistd.h>

namespace savorymount::tests
{
namespace
{

using namespace std::chrono_literals;

// A crowd stops when no connection has accepted a byte for so long. It is longer than the kernel's
// first retry of a connection that the backlog had no room for.
constexpr auto quiet_time = 1500ms;
// Ends a crowd that always makes some progress.
constexpr auto longest_crowd = 20s;
constexpr int poll_time_ms = 100;
// Small, so that answers which are not read stay with the server.
constexpr int receive_buffer_bytes = 4096;
constexpr std::string_view id_mark = "{id}";

std::string with_id(std::string text, std::size_t id)
{
    auto const at = text.find(id_mark);
    if (at != std::string::npos)
        text.replace(at, id_mark.size(), std::to_string(id));
    return text;
}

int start_connection(sockaddr_in const& name)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0)
        throw std::runtime_error("no descriptor is left for the crowd");
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof(receive_buffer_bytes));
    if (connect(fd, reinterpret_cast<sockaddr const*>(&name), sizeof(name)) != 0 &&
        errno != EINPROGRESS)
        throw std::runtime_error("the crowd cannot connect");
    return fd;
}

} // namespace

crowd_client::crowd_client(runtime::network_address const& address, std::size_t connections)
    : members_(connections)
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &name.sin_addr);
    for (auto& it : members_)
        it.fd = start_connection(name);
}

crowd_client::~crowd_client()
{
    for (auto const& it : members_)
        close(it.fd);
}

void crowd_client::send(crowd_message const& message)
{
    for (std::size_t i = 0; i < members_.size(); ++i)
        members_[i].first = with_id(message.first, i);
    auto const end = std::chrono::steady_clock::now() + longest_crowd;
    auto progressed_at = std::chrono::steady_clock::now();
    for (std::size_t turn = 0; message.max_turns == 0 || turn < message.max_turns; ++turn)
    {
        auto const now = std::chrono::steady_clock::now();
        auto const n = run_turn(message);
        sent_bytes_ += n;
        if (n > 0)
            progressed_at = now;
        bool const done = std::all_of(members_.begin(), members_.end(),
                                      [&](auto const& it) { return is_done(it, message); });
        if (done || now - progressed_at > quiet_time || now > end)
            return;
    }
}

std::size_t crowd_client::open_connections() const
{
    return static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(), [](auto const& it) { return !it.ended; }));
}

bool crowd_client::is_done(member const& it, crowd_message const& message) const
{
    return it.ended || it.sent == it.first.size() + message.repeated.size() * message.repeats;
}

std::size_t crowd_client::advance(member& it, crowd_message const& message)
{
    std::size_t out = 0;
    while (!is_done(it, message))
    {
        std::string_view bytes = it.first;
        if (it.sent < it.first.size())
            bytes.remove_prefix(it.sent);
        else
            bytes = std::string_view(message.repeated)
                        .substr((it.sent - it.first.size()) % message.repeated.size());
        if (message.piece_bytes > 0)
            bytes = bytes.substr(0, message.piece_bytes);
        auto const n = ::send(it.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0)
        {
            it.ended = errno != EAGAIN && errno != EINTR;
            return out;
        }
        it.sent += static_cast<std::size_t>(n);
        out += static_cast<std::size_t>(n);
        if (is_done(it, message) && message.ends_sending)
            shutdown(it.fd, SHUT_WR);
        if (message.piece_bytes > 0)
            return out;
    }
    return out;
}

std::size_t crowd_client::run_turn(crowd_message const& message)
{
    std::vector<pollfd> polled;
    std::vector<member*> waiting;
    for (auto& it : members_)
    {
        if (is_done(it, message))
            continue;
        polled.push_back({it.fd, POLLOUT, 0});
        waiting.push_back(&it);
    }
    poll(polled.data(), polled.size(), poll_time_ms);
    std::size_t out = 0;
    for (std::size_t i = 0; i < polled.size(); ++i)
    {
        if (polled[i].revents != 0)
            out += advance(*waiting[i], message);
    }
    return out;
}

} // namespace savorymount::tests
