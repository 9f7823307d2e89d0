#pragma once

#include <savorymount/agent/answer_pump.hpp>
#include <savorymount/agent/submitted_request.hpp>
#include <savorymount/deduplication/claim.hpp>
#include <savorymount/runtime/request_outcome.hpp>
#include <savorymount/runtime/timer_service.hpp>
#include <savorymount/runtime/upstream_adapter.hpp>
#include <savorymount/streams/chat_usage.hpp>
#include <savorymount/streams/event_stream_parser.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace savorymount::agent
{

/// One request at the agent from its submission until its outcome is forgotten.
class agent_request : public std::enable_shared_from_this<agent_request>
{
public:
    using ended_hook = std::function<void(runtime::request_outcome)>;

    agent_request(runtime::event_loop& loop, submitted_request request);

    submitted_request const& request() const { return request_; }
    /// Unique per attempt; the part before the last dot is the caller's request.
    std::string const& id() const { return request_.id; }
    answer_pump& pump() { return *pump_; }

    /// Sends the request to the upstream. `ended` is called once with the outcome.
    void run(runtime::upstream_adapter const& adapter, std::string cache_salt,
             base::duration idle_timeout, ended_hook ended);

    /// Closes the connection to the upstream and ends the request as failed.
    void stop(base::error reason);

    bool running() const { return call_ != nullptr; }

    /// The engine process that was known when the request was sent.
    std::string engine_before;
    /// Tokens reserved for the request, and the reservation's number.
    std::uint64_t reserved_tokens = 0;
    std::uint64_t reservation = 0;
    /// The outcome, once there is one.
    std::optional<runtime::request_outcome> outcome;
    /// Calls that wait for the outcome.
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> waiters;
    /// Runs while no entry is connected; ends a repeatable request.
    runtime::timer_service::subscription abandoned;

    /// The claim under which a request with an idempotency key runs, and the id it runs under.
    std::optional<deduplication::claim> claim;
    std::string claimed_id;
    /// Called when the connection to the entry fails while the request is not finished.
    std::function<void()> on_entry_lost;

    /// Drops what only a running request needs.
    void release_body();

private:
    void take_head(int status, runtime::http_headers const& headers);
    void take_bytes(std::string_view bytes);
    void take_events(std::string_view bytes);
    void take_done(std::optional<runtime::http_failure> const& failure);
    void end(runtime::request_outcome result);

    runtime::event_loop& loop_;
    submitted_request request_;
    std::shared_ptr<answer_pump> pump_;
    std::unique_ptr<runtime::http_call> call_;
    ended_hook ended_;
    bool event_stream_ = false;
    bool written_ = false;
    bool done_seen_ = false;
    int status_ = 0;
    streams::event_stream_parser parser_;
    std::uint64_t next_token_ = 0;
    std::uint64_t next_byte_ = 0;
    std::string json_;
    std::optional<streams::chat_usage> usage_;
};

} // namespace savorymount::agent
