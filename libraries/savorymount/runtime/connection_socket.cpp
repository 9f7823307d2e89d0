#include <savorymount/runtime/connection_socket.hpp>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace savorymount::runtime
{
namespace
{

constexpr int keep_alive_idle_s = 1;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 2;

void set_option(evutil_socket_t socket, int level, int name, int value)
{
    setsockopt(socket, level, name, &value, sizeof(value));
}

} // namespace

void watch_for_silence(evutil_socket_t socket, base::duration silence)
{
    auto const silence_ms = std::chrono::duration_cast<std::chrono::milliseconds>(silence).count();
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(silence_ms));
}

std::size_t unacknowledged_bytes(evutil_socket_t socket)
{
    int out = 0;
    if (ioctl(socket, SIOCOUTQ, &out) != 0 || out < 0)
        return 0;
    return static_cast<std::size_t>(out);
}

bool has_failed(evutil_socket_t socket)
{
    int error = 0;
    socklen_t size = sizeof(error);
    return getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0;
}

void set_receive_buffer(evutil_socket_t socket, int bytes)
{
    set_option(socket, SOL_SOCKET, SO_RCVBUF, bytes);
}

} // namespace savorymount::runtime
