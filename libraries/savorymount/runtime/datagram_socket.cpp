#include <savorymount/runtime/callback_guard.hpp>
#include <savorymount/runtime/datagram_socket.hpp>

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace savorymount::runtime
{
namespace
{

constexpr std::size_t most_datagram_bytes = std::size_t{64} * 1024;

sockaddr_in socket_name(network_address const& address)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &out.sin_addr);
    return out;
}

} // namespace

datagram_socket::datagram_socket(event_loop& loop, receive_hook hook)
    : loop_(loop), hook_(std::move(hook))
{
}

datagram_socket::~datagram_socket()
{
    if (event_ != nullptr)
        event_free(event_);
    if (socket_ >= 0)
        close(socket_);
}

std::optional<std::uint16_t> datagram_socket::bind(network_address const& address,
                                                   base::error& reason)
{
    socket_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto name = socket_name(address);
    if (socket_ < 0 || ::bind(socket_, reinterpret_cast<sockaddr const*>(&name), sizeof(name)) != 0)
    {
        reason = {base::error_kind::unavailable,
                  "cannot bind the datagram socket to " + to_string(address) + ": " +
                      std::strerror(errno) + "; choose a free address of this instance"};
        return std::nullopt;
    }
    event_ = event_new(loop_.base(), socket_, EV_READ | EV_PERSIST, handle_read, this);
    event_add(event_, nullptr);
    socklen_t size = sizeof(name);
    getsockname(socket_, reinterpret_cast<sockaddr*>(&name), &size);
    return ntohs(name.sin_port);
}

void datagram_socket::send(network_address const& to, std::string_view bytes) const
{
    auto const name = socket_name(to);
    sendto(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT,
           reinterpret_cast<sockaddr const*>(&name), sizeof(name));
}

void datagram_socket::handle_read(evutil_socket_t, short, void* self)
{
    static_cast<datagram_socket*>(self)->receive();
}

void datagram_socket::receive()
{
    std::string buffer(most_datagram_bytes, '\0');
    for (;;)
    {
        auto const n = recv(socket_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (n < 0)
            return;
        std::string_view const bytes(buffer.data(), static_cast<std::size_t>(n));
        run_guarded("datagram", [&] { hook_(bytes); });
    }
}

} // namespace savorymount::runtime
