#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/runtime/http_fetch.hpp>
#include <savorymount/runtime/outbound_pool.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace savorymount::runtime
{

/// One small request whose whole answer is wanted.
struct outbound_request
{
    network_address address;
    std::string method;
    std::string target;
    http_headers headers;
    std::string body;
    base::duration timeout = std::chrono::seconds(1);
    /// A longer body ends the request with `unknown_outcome`.
    std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
    /// Whether a response with this head answers this request; others are skipped. Optional.
    std::function<bool(http_head const&)> answers = nullptr;
    /// Whether the request may still be sent when its connection is open. Optional.
    std::function<bool()> may_send = nullptr;
};

/// Sends small requests over kept connections. `done` is called once, from the loop, with the
/// answer or with the reason: `unavailable` if the request was not sent, else `unknown_outcome`.
class outbound_client
{
public:
    using done = std::function<void(std::optional<http_answer>, base::error const&)>;

    outbound_client(event_loop& loop, timer_service& timers) : timers_(timers), pool_(loop, timers)
    {
    }

    void fetch(outbound_request const& request, done hook);

private:
    struct call;

    timer_service& timers_;
    outbound_pool pool_;
};

} // namespace savorymount::runtime
