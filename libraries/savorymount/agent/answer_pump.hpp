#pragma once

#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/http_header.hpp>
#include <savorymount/streams/replay_buffer.hpp>
#include <savorymount/wire/savorymount.capnp.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace savorymount::agent
{

/// Sends one answer to the entry that asked for it, keeps what the entry has not confirmed, and
/// goes on over another connection when the entry attaches again.
class answer_pump : public std::enable_shared_from_this<answer_pump>
{
public:
    struct hooks
    {
        /// The unconfirmed part has outgrown the window, or is small again.
        std::function<void(bool full)> on_window;
        /// The connection to the entry failed.
        std::function<void()> on_lost;
    };

    /// `start` is the position of the first chunk: above zero for a resumed stream. With
    /// `keep_all` confirmed chunks are kept too, for calls that share the answer.
    answer_pump(runtime::event_loop& loop, hooks callbacks, std::uint64_t start, bool keep_all);

    /// A pump with the same answer for another call; null if a part is no longer held.
    std::shared_ptr<answer_pump> copy() const;

    /// Sends what the entry has not got: the head, and the chunks from `position` on. Returns false
    /// if they are no longer held.
    bool attach(wire::AnswerSink::Client sink, std::uint64_t position);

    /// Stops sending; what is unconfirmed is kept for another `attach`.
    void detach();

    /// Drops all hooks; the pump only serves attaching entries from now on.
    void finish();

    void head(int status, runtime::http_headers headers);
    void chunk(streams::replay_chunk const& chunk);

    /// Position behind the newest chunk.
    std::uint64_t position() const { return buffer_.end_position(); }

    /// Calls `hook` once every chunk is confirmed, or the connection is lost.
    void when_confirmed(std::function<void()> hook);

private:
    void send_head();
    void send(streams::replay_chunk const& chunk);
    void confirmed(std::uint64_t generation, std::uint64_t end, std::size_t size);
    std::size_t unconfirmed_bytes() const;
    void lost(std::uint64_t generation);
    void check_confirmed();

    runtime::event_loop& loop_;
    hooks hooks_;
    kj::Maybe<wire::AnswerSink::Client> sink_;
    std::uint64_t generation_ = 0;
    streams::replay_buffer buffer_;
    std::optional<int> status_;
    runtime::http_headers headers_;
    bool keep_all_;
    std::size_t in_flight_bytes_ = 0;
    std::size_t in_flight_calls_ = 0;
    bool full_ = false;
    std::function<void()> confirmed_hook_;
};

} // namespace savorymount::agent
