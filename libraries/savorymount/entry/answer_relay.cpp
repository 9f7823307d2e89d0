#include <savorymount/entry/answer_relay.hpp>
#include <savorymount/entry/error_answer.hpp>

#include <utility>

namespace savorymount::entry
{
namespace
{

// Above this length an answer is passed on while it arrives, and a failure truncates it.
constexpr std::size_t max_buffered_bytes = std::size_t{1024} * 1024;
// Memory that one caller's connection may hold at this entry before its source is held back.
constexpr std::size_t high_water_bytes = std::size_t{256} * 1024;

bool is_event_stream(runtime::http_headers const& headers)
{
    auto const type = runtime::find_header(headers, "content-type");
    return type && type->starts_with("text/event-stream");
}

} // namespace

answer_relay::answer_relay(std::shared_ptr<runtime::http_exchange> exchange, std::string request_id)
    : exchange_(std::move(exchange)), request_id_(std::move(request_id))
{
}

void answer_relay::begin_source()
{
    parser_.reset();
}

void answer_relay::head(int status, runtime::http_headers headers)
{
    // The first head counts once a part of its answer was passed on.
    if (started_)
        return;
    status_ = status;
    headers_ = std::move(headers);
    event_stream_ = is_event_stream(headers_);
}

bool answer_relay::chunk(std::uint64_t position, std::string_view bytes, base::error& reason)
{
    if (ended_)
        return true;
    return event_stream_ ? take_events(position, bytes, reason)
                         : take_bytes(position, bytes, reason);
}

bool answer_relay::complete(base::error& reason)
{
    if (ended_)
        return true;
    if (event_stream_ && !relay_.complete())
    {
        reason = {base::error_kind::crashed, "the stream ended before its end mark"};
        return false;
    }
    if (status_ == 0)
    {
        reason = {base::error_kind::internal, "the answer has no head"};
        return false;
    }
    ended_ = true;
    if (started_)
        exchange_->finish();
    else
        exchange_->respond(status_, answer_headers(), buffered_);
    return true;
}

void answer_relay::fail(base::error const& reason, bool may_have_run, base::duration retry_after)
{
    if (std::exchange(ended_, true))
        return;
    if (!started_)
    {
        auto const answer =
            make_error_answer(reason, may_have_run ? execution::unknown : execution::not_run,
                              retry_after, request_id_);
        exchange_->respond(answer.status, answer.headers, answer.body);
        return;
    }
    if (event_stream_)
        exchange_->write(relay_.abort(reason));
    exchange_->abort();
}

std::uint64_t answer_relay::position() const
{
    if (event_stream_)
        return relay_.position();
    return passed_bytes_ + buffered_.size();
}

void answer_relay::restart()
{
    if (started_)
        return;
    buffered_.clear();
    status_ = 0;
    headers_.clear();
    event_stream_ = false;
}

void answer_relay::when_room(std::function<void()> hook)
{
    if (ended_ || !started_ || exchange_->buffered_bytes() < high_water_bytes)
    {
        hook();
        return;
    }
    room_hooks_.push_back(std::move(hook));
    exchange_->when_drained(
        [this]
        {
            for (auto const& it : std::exchange(room_hooks_, {}))
                it();
        });
}

void answer_relay::close()
{
    ended_ = true;
    for (auto const& it : std::exchange(room_hooks_, {}))
        it();
}

bool answer_relay::take_events(std::uint64_t position, std::string_view bytes, base::error& reason)
{
    if (!parser_)
        parser_.emplace(streams::event_stream_limits{}, position);
    std::vector<streams::stream_event> events;
    bool intact = parser_->feed(bytes, events, reason);
    std::string output;
    for (auto const& it : events)
    {
        if (relay_.forward(it, output, reason))
            continue;
        intact = false;
        break;
    }
    if (!output.empty())
    {
        start();
        exchange_->write(output);
    }
    return intact;
}

bool answer_relay::take_bytes(std::uint64_t position, std::string_view bytes, base::error& reason)
{
    auto const expected = this->position();
    if (position > expected)
    {
        reason = {base::error_kind::internal, "a part of the answer is missing"};
        return false;
    }
    auto const known = expected - position;
    if (known >= bytes.size())
        return true;
    bytes.remove_prefix(known);
    if (!started_ && buffered_.size() + bytes.size() <= max_buffered_bytes)
    {
        buffered_ += bytes;
        return true;
    }
    start();
    passed_bytes_ += bytes.size();
    exchange_->write(bytes);
    return true;
}

void answer_relay::start()
{
    if (std::exchange(started_, true))
        return;
    exchange_->start(status_, answer_headers());
    passed_bytes_ = buffered_.size();
    if (!buffered_.empty())
        exchange_->write(buffered_);
    buffered_.clear();
    buffered_.shrink_to_fit();
}

runtime::http_headers answer_relay::answer_headers() const
{
    auto out = headers_;
    out.push_back({"x-savorymount-request-id", request_id_});
    return out;
}

} // namespace savorymount::entry
