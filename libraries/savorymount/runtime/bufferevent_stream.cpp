#include <savorymount/runtime/bufferevent_stream.hpp>

#include <event2/buffer.h>
#include <kj/debug.h>

#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <utility>

namespace savorymount::runtime
{
namespace
{

constexpr std::size_t read_high_water_bytes = std::size_t{256} * 1024;
constexpr std::size_t write_high_water_bytes = std::size_t{256} * 1024;
constexpr std::size_t write_low_water_bytes = std::size_t{64} * 1024;

kj::Exception disconnected_error(char const* description)
{
    return KJ_EXCEPTION(DISCONNECTED, description);
}

} // namespace

bufferevent_stream::bufferevent_stream(bufferevent* buffer)
    : buffer_(buffer), disconnected_(nullptr)
{
    auto paf = kj::newPromiseAndFulfiller<void>();
    disconnected_fulfiller_ = kj::mv(paf.fulfiller);
    disconnected_ = paf.promise.fork();
    bufferevent_setcb(buffer_, on_read, on_write, on_event, this);
    bufferevent_setwatermark(buffer_, EV_READ, 0, read_high_water_bytes);
    bufferevent_setwatermark(buffer_, EV_WRITE, write_low_water_bytes, 0);
    bufferevent_enable(buffer_, EV_READ | EV_WRITE);
}

bufferevent_stream::~bufferevent_stream()
{
    bufferevent_setcb(buffer_, nullptr, nullptr, nullptr, nullptr);
    bufferevent_free(buffer_);
}

kj::Promise<std::size_t> bufferevent_stream::tryRead(void* buffer, std::size_t min_bytes,
                                                     std::size_t max_bytes)
{
    auto* const target = static_cast<kj::byte*>(buffer);
    if (evbuffer_get_length(bufferevent_get_input(buffer_)) >= min_bytes || ended_)
        return take(target, max_bytes);
    KJ_IF_MAYBE (it, failure_)
        return kj::cp(*it);
    auto paf = kj::newPromiseAndFulfiller<std::size_t>();
    read_ = pending_read{target, min_bytes, max_bytes, kj::mv(paf.fulfiller)};
    return kj::mv(paf.promise);
}

kj::Promise<void> bufferevent_stream::write(void const* buffer, std::size_t size)
{
    KJ_IF_MAYBE (it, failure_)
        return kj::cp(*it);
    bufferevent_write(buffer_, buffer, size);
    return wait_for_room();
}

kj::Promise<void> bufferevent_stream::write(kj::ArrayPtr<kj::ArrayPtr<kj::byte const> const> pieces)
{
    KJ_IF_MAYBE (it, failure_)
        return kj::cp(*it);
    for (auto const& it : pieces)
        bufferevent_write(buffer_, it.begin(), it.size());
    return wait_for_room();
}

kj::Promise<void> bufferevent_stream::whenWriteDisconnected()
{
    return disconnected_.addBranch();
}

void bufferevent_stream::shutdownWrite()
{
    shutdown_requested_ = true;
    if (evbuffer_get_length(bufferevent_get_output(buffer_)) == 0)
        shutdown(bufferevent_getfd(buffer_), SHUT_WR);
}

void bufferevent_stream::abortRead()
{
    shutdown(bufferevent_getfd(buffer_), SHUT_RD);
    ended_ = true;
    complete_read();
}

void bufferevent_stream::on_read(bufferevent*, void* self)
{
    auto* const stream = static_cast<bufferevent_stream*>(self);
    if (stream->on_activity)
        stream->on_activity();
    stream->complete_read();
}

void bufferevent_stream::on_write(bufferevent*, void* self)
{
    auto* const stream = static_cast<bufferevent_stream*>(self);
    KJ_IF_MAYBE (it, stream->room_)
    {
        (*it)->fulfill();
        stream->room_ = nullptr;
    }
    if (!stream->shutdown_requested_)
        return;
    if (evbuffer_get_length(bufferevent_get_output(stream->buffer_)) == 0)
        shutdown(bufferevent_getfd(stream->buffer_), SHUT_WR);
}

void bufferevent_stream::on_event(bufferevent*, short what, void* self)
{
    auto* const stream = static_cast<bufferevent_stream*>(self);
    if ((what & BEV_EVENT_EOF) != 0)
    {
        stream->ended_ = true;
        stream->complete_read();
        return;
    }
    if ((what & (BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0)
    {
        int const ec = EVUTIL_SOCKET_ERROR();
        stream->fail(disconnected_error(ec == 0 ? "connection failed" : std::strerror(ec)));
    }
}

void bufferevent_stream::complete_read()
{
    KJ_IF_MAYBE (it, read_)
    {
        std::size_t const n = evbuffer_get_length(bufferevent_get_input(buffer_));
        if (n < it->min_bytes && !ended_)
            return;
        auto fulfiller = kj::mv(it->fulfiller);
        std::size_t const taken = take(it->buffer, it->max_bytes);
        read_ = nullptr;
        fulfiller->fulfill(kj::cp(taken));
    }
}

void bufferevent_stream::fail(kj::Exception&& exception)
{
    KJ_IF_MAYBE (it, read_)
    {
        auto fulfiller = kj::mv(it->fulfiller);
        read_ = nullptr;
        fulfiller->reject(kj::cp(exception));
    }
    KJ_IF_MAYBE (it, room_)
    {
        (*it)->reject(kj::cp(exception));
        room_ = nullptr;
    }
    disconnected_fulfiller_->fulfill();
    failure_ = kj::mv(exception);
}

kj::Promise<void> bufferevent_stream::wait_for_room()
{
    if (evbuffer_get_length(bufferevent_get_output(buffer_)) <= write_high_water_bytes)
        return kj::READY_NOW;
    auto paf = kj::newPromiseAndFulfiller<void>();
    room_ = kj::mv(paf.fulfiller);
    return kj::mv(paf.promise);
}

std::size_t bufferevent_stream::take(kj::byte* buffer, std::size_t max_bytes)
{
    return bufferevent_read(buffer_, buffer, max_bytes);
}

} // namespace savorymount::runtime
