#pragma once

#include <savorymount/base/time.hpp>

#include <cstddef>

namespace savorymount::runtime
{

/// Bounds on what one connection of an HTTP server may use.
struct http_limits
{
    std::size_t max_header_bytes = std::size_t{64} * 1024;
    std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
    /// Closes a connection that has sent no complete request for this long.
    base::duration read_timeout = std::chrono::seconds(60);
    /// Closes a connection that has accepted no byte of a waiting response for this long.
    base::duration write_timeout = std::chrono::seconds(60);
};

} // namespace savorymount::runtime
