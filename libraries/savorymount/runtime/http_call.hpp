#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/base/time.hpp>
#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/http_header.hpp>
#include <savorymount/runtime/settings_parser.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace savorymount::runtime
{

/// What to send and how long to wait.
struct http_call_request
{
    network_address address;
    std::string method;
    std::string target;
    http_headers headers;
    std::string body;
    base::duration connect_timeout = std::chrono::seconds(1);
    /// Longest time without a received byte once connected; zero means no limit. The time while
    /// reading is paused does not count.
    base::duration idle_timeout = base::duration::zero();
};

/// Why a call did not end with a whole response.
struct http_failure
{
    base::error reason;
    /// False only if no byte of the request can have reached the peer.
    bool written = false;
    bool head_received = false;

    bool operator==(http_failure const&) const = default;
};

/// Called from the event loop, never from inside a method of the call. A hook may pause, cancel or
/// destroy the call.
struct http_call_hooks
{
    std::function<void(int status, http_headers const& headers)> on_head;
    std::function<void(std::string_view bytes)> on_chunk;
    /// Called once, last. Without a failure the response is whole.
    std::function<void(std::optional<http_failure> failure)> on_done;
};

/// One HTTP request on a connection of its own, which is never reused and never retried. A body
/// that is cut short is a failure, and so is an interim response other than 100. A body that has
/// neither a length nor chunks ends with the connection.
class http_call
{
public:
    http_call(event_loop& loop, http_call_request request, http_call_hooks hooks);

    /// Cancels.
    ~http_call();
    http_call(http_call const&) = delete;
    http_call& operator=(http_call const&) = delete;

    /// Stops reading from the connection. Bytes that were already read may still reach `on_chunk`.
    void pause();

    /// Reads again.
    void resume();

    /// Closes the connection. No hook is called afterwards.
    void cancel();

private:
    class transfer;

    std::shared_ptr<transfer> transfer_;
};

} // namespace savorymount::runtime
