#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/runtime/http_exchange.hpp>
#include <savorymount/streams/event_stream_parser.hpp>
#include <savorymount/streams/stream_relay.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorymount::entry
{

/// Passes one answer on to its caller, whichever attempts it comes from: each token or byte once
/// and in order.
class answer_relay
{
public:
    answer_relay(std::shared_ptr<runtime::http_exchange> exchange, std::string request_id);

    /// A source starts or goes on; its chunks begin at an event or byte boundary.
    void begin_source();

    void head(int status, runtime::http_headers headers);

    /// Takes a chunk that starts at `position`. False if the source must be given up.
    bool chunk(std::uint64_t position, std::string_view bytes, base::error& reason);

    /// The source has completed. False if the answer is not whole.
    bool complete(base::error& reason);

    /// Ends the answer with an error: as a whole error answer if nothing was sent yet, else by an
    /// error event and a truncated body, which no client takes for the end.
    void fail(base::error const& reason, bool may_have_run, base::duration retry_after);

    /// Where another source has to go on: a token index of an event stream, else a byte offset.
    std::uint64_t position() const;

    /// Whether the caller has received a part of the answer.
    bool started() const { return started_; }

    /// Whether another run can continue the answer. Only event streams carry positions.
    bool resumable() const { return !started_ || event_stream_; }

    /// Forgets a buffered answer that was not passed on, because the next run starts again.
    void restart();

    /// Calls `hook` once the caller has taken enough for more to be sent.
    void when_room(std::function<void()> hook);

    /// Nothing more is passed on: lets sources that wait for room go on.
    void close();

    bool ended() const { return ended_; }

private:
    bool take_events(std::uint64_t position, std::string_view bytes, base::error& reason);
    bool take_bytes(std::uint64_t position, std::string_view bytes, base::error& reason);
    void start();
    runtime::http_headers answer_headers() const;

    std::shared_ptr<runtime::http_exchange> exchange_;
    std::string request_id_;
    int status_ = 0;
    runtime::http_headers headers_;
    bool event_stream_ = false;
    bool started_ = false;
    bool ended_ = false;
    /// Made at a source's first chunk, whose position it starts from.
    std::optional<streams::event_stream_parser> parser_;
    streams::stream_relay relay_;
    /// An answer that is not a stream is kept until it is whole, up to a bound.
    std::string buffered_;
    std::uint64_t passed_bytes_ = 0;
    std::vector<std::function<void()>> room_hooks_;
};

} // namespace savorymount::entry
