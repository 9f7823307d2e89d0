#pragma once

#include <savorymount/base/byte_account.hpp>
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
    /// A longer body ends the request with `too_large`.
    std::size_t max_body_bytes = std::size_t{16} * 1024;
    /// Whether a response with this head answers this request; others are skipped. Optional.
    std::function<bool(http_head const&)> answers = nullptr;
    /// Whether the request may still be sent when its connection is open. Optional.
    std::function<bool()> may_send = nullptr;
};

/// Sends small requests over kept connections. `done` is called once, from the loop, with the
/// answer or with the reason: `unavailable` if the request was not sent, `too_large` or
/// `invalid_input` if the peer sent what is no answer to it, else `unknown_outcome`. The request
/// may have run unless it was not sent.
class outbound_client
{
public:
    using done = std::function<void(std::optional<http_answer>, base::error const&)>;

    /// The bodies of all answers that are being read take at most `max_total_body_bytes`.
    outbound_client(event_loop& loop, timer_service& timers,
                    std::size_t max_total_body_bytes = default_max_total_body_bytes)
        : timers_(timers), pool_(loop, timers),
          memory_(std::make_shared<base::byte_account>(max_total_body_bytes))
    {
    }

    void fetch(outbound_request const& request, done hook);

    /// What the bodies that are being read take.
    std::size_t used_bytes() const { return memory_->used_bytes(); }

private:
    static constexpr std::size_t default_max_total_body_bytes = std::size_t{8} * 1024 * 1024;

    struct call;

    timer_service& timers_;
    outbound_pool pool_;
    /// Shared with the calls, which may outlive the client.
    std::shared_ptr<base::byte_account> memory_;
};

} // namespace savorymount::runtime
