#pragma once

#include <savorymount/base/time.hpp>

#include <cstddef>

namespace savorymount::configuration
{

/// Bounds on what a client may send and how long it may take.
struct client_limits
{
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    /// From the first byte of a request to the end of its header.
    base::duration header_timeout = std::chrono::seconds(3);
    /// Without a request on a kept connection, and without progress in a body.
    base::duration idle_timeout = std::chrono::seconds(15);

    bool operator==(client_limits const&) const = default;
};

} // namespace savorymount::configuration
