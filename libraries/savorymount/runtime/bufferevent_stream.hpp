#pragma once

#include <savorymount/runtime/event_loop.hpp>

#include <event2/bufferevent.h>
#include <kj/async-io.h>

#include <cstddef>
#include <functional>

namespace savorymount::runtime
{

/// A KJ byte stream over a libevent bufferevent. `write` waits while more than the high-water mark
/// is buffered; errors and the end of the stream reach a waiting read.
class bufferevent_stream final : public kj::AsyncIoStream
{
public:
    /// Takes ownership of a connected or connecting `buffer`.
    explicit bufferevent_stream(bufferevent* buffer);
    ~bufferevent_stream();

    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes,
                                     std::size_t max_bytes) override;
    kj::Promise<void> write(void const* buffer, std::size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<kj::ArrayPtr<kj::byte const> const> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;

    /// Called each time bytes arrive.
    std::function<void()> on_activity;

private:
    struct pending_read
    {
        kj::byte* buffer;
        std::size_t min_bytes;
        std::size_t max_bytes;
        kj::Own<kj::PromiseFulfiller<std::size_t>> fulfiller;
    };

    static void on_read(bufferevent*, void* self);
    static void on_write(bufferevent*, void* self);
    static void on_event(bufferevent*, short what, void* self);

    void complete_read();
    void fail(kj::Exception&& exception);
    kj::Promise<void> wait_for_room();
    std::size_t take(kj::byte* buffer, std::size_t max_bytes);

    bufferevent* buffer_;
    bool ended_ = false;
    bool shutdown_requested_ = false;
    kj::Maybe<kj::Exception> failure_;
    kj::Maybe<pending_read> read_;
    kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> room_;
    kj::Own<kj::PromiseFulfiller<void>> disconnected_fulfiller_;
    kj::ForkedPromise<void> disconnected_;
};

} // namespace savorymount::runtime
