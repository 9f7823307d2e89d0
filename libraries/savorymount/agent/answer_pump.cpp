#include <savorymount/agent/answer_pump.hpp>

#include <utility>

namespace savorymount::agent
{
namespace
{

constexpr std::size_t window_bytes = std::size_t{256} * 1024;
// The upstream's socket may still hold a read's worth of bytes when reading stops at the window.
constexpr std::size_t replay_bytes = 4 * window_bytes;

} // namespace

answer_pump::answer_pump(runtime::event_loop& loop, hooks callbacks, std::uint64_t start,
                         bool keep_all)
    : loop_(loop), hooks_(std::move(callbacks)), buffer_(replay_bytes, start), keep_all_(keep_all)
{
}

std::shared_ptr<answer_pump> answer_pump::copy() const
{
    base::error reason;
    auto const chunks = buffer_.chunks_from(0, reason);
    if (!chunks)
        return nullptr;
    auto out = std::make_shared<answer_pump>(loop_, hooks{}, 0, true);
    out->status_ = status_;
    out->headers_ = headers_;
    for (auto const& it : *chunks)
        out->buffer_.append(it, reason);
    return out;
}

std::size_t answer_pump::unconfirmed_bytes() const
{
    // Without a connection the buffer alone counts, so that a lost entry can't make it grow.
    return keep_all_ ? in_flight_bytes_ : buffer_.bytes();
}

bool answer_pump::attach(wire::AnswerSink::Client sink, std::uint64_t position)
{
    base::error reason;
    auto const chunks = buffer_.chunks_from(position, reason);
    if (!chunks)
        return false;
    detach();
    sink_ = kj::mv(sink);
    if (!keep_all_)
        buffer_.acknowledge(position);
    if (status_)
        send_head();
    for (auto const& it : *chunks)
        send(it);
    return true;
}

void answer_pump::detach()
{
    ++generation_;
    sink_ = nullptr;
    in_flight_bytes_ = 0;
    in_flight_calls_ = 0;
}

void answer_pump::finish()
{
    hooks_ = {};
}

void answer_pump::head(int status, runtime::http_headers headers)
{
    status_ = status;
    headers_ = std::move(headers);
    send_head();
}

void answer_pump::chunk(streams::replay_chunk const& chunk)
{
    base::error reason;
    if (buffer_.append(chunk, reason))
        send(chunk);
}

void answer_pump::when_confirmed(std::function<void()> hook)
{
    confirmed_hook_ = std::move(hook);
    check_confirmed();
}

void answer_pump::send_head()
{
    KJ_IF_MAYBE (sink, sink_)
    {
        auto request = sink->headRequest();
        request.setStatus(static_cast<std::uint16_t>(*status_));
        auto headers = request.initHeaders(static_cast<unsigned>(headers_.size()));
        for (unsigned i = 0; i < headers_.size(); ++i)
        {
            headers[i].setName(headers_[i].name);
            headers[i].setValue(headers_[i].value);
        }
        loop_.detach(request.send().ignoreResult().catch_(
            [self = shared_from_this(), generation = generation_](kj::Exception&&)
            { self->lost(generation); }));
    }
}

void answer_pump::send(streams::replay_chunk const& chunk)
{
    KJ_IF_MAYBE (sink, sink_)
    {
        auto request = sink->chunkRequest();
        request.setPosition(chunk.position);
        request.setBytes(
            {reinterpret_cast<kj::byte const*>(chunk.bytes.data()), chunk.bytes.size()});
        auto const size = chunk.bytes.size();
        in_flight_bytes_ += size;
        ++in_flight_calls_;
        loop_.detach(request.send().then(
            [self = shared_from_this(), generation = generation_, end = chunk.end,
             size](capnp::Response<wire::AnswerSink::ChunkResults>&&)
            { self->confirmed(generation, end, size); },
            [self = shared_from_this(), generation = generation_](kj::Exception&&)
            { self->lost(generation); }));
    }
    bool const full = unconfirmed_bytes() > window_bytes;
    if (full && !std::exchange(full_, true) && hooks_.on_window)
        hooks_.on_window(true);
}

void answer_pump::confirmed(std::uint64_t generation, std::uint64_t end, std::size_t size)
{
    if (generation != generation_)
        return;
    in_flight_bytes_ -= size;
    --in_flight_calls_;
    if (!keep_all_)
        buffer_.acknowledge(end);
    if (unconfirmed_bytes() <= window_bytes / 2 && std::exchange(full_, false) && hooks_.on_window)
        hooks_.on_window(false);
    check_confirmed();
}

void answer_pump::lost(std::uint64_t generation)
{
    if (generation != generation_)
        return;
    detach();
    if (hooks_.on_lost)
        hooks_.on_lost();
    check_confirmed();
}

void answer_pump::check_confirmed()
{
    bool const settled = sink_ == nullptr || in_flight_calls_ == 0;
    if (settled && confirmed_hook_)
        std::exchange(confirmed_hook_, nullptr)();
}

} // namespace savorymount::agent
