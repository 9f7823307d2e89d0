#include <savorymount/runtime/connection_socket.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
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

void set_receive_buffer(evutil_socket_t socket, int bytes)
{
    set_option(socket, SOL_SOCKET, SO_RCVBUF, bytes);
}

} // namespace savorymount::runtime
