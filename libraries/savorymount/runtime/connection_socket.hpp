#pragma once

#include <savorymount/base/time.hpp>

#include <event2/util.h>

namespace savorymount::runtime
{

/// Lets the kernel notice a peer that no longer answers, and sends small writes at once.
/// `silence` bounds how long sent bytes may stay unacknowledged.
void watch_for_silence(evutil_socket_t socket, base::duration silence);

} // namespace savorymount::runtime
