#pragma once

#include <savorymount/base/time.hpp>

#include <event2/util.h>

#include <cstddef>

namespace savorymount::runtime
{

/// Lets the kernel notice a peer that no longer answers, and sends small writes at once.
/// `silence` bounds how long sent bytes may stay unacknowledged.
void watch_for_silence(evutil_socket_t socket, base::duration silence);

/// Sent bytes that the peer's kernel has not acknowledged; 0 if that is unknown.
std::size_t unacknowledged_bytes(evutil_socket_t socket);

/// Whether the connection has failed since the last operation that reported it.
bool has_failed(evutil_socket_t socket);

/// Receive buffer of a connection whose peer may send more than is wanted now.
inline constexpr int waiting_receive_buffer_bytes = 64 * 1024;

/// Bounds what the kernel keeps of received bytes that were not read yet.
void set_receive_buffer(evutil_socket_t socket, int bytes);

} // namespace savorymount::runtime
