#include <savorymount/agent/agent_request.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::agent
{
namespace
{

// The usage of an answer that is not streamed is read from its text, up to this length.
constexpr std::size_t max_usage_text_bytes = std::size_t{1024} * 1024;

/// The caller's request id, which stays the same over all attempts.
std::string upstream_id(std::string const& attempt_id)
{
    return attempt_id.substr(0, attempt_id.rfind('.'));
}

bool is_event_stream(runtime::http_headers const& headers)
{
    auto const type = runtime::find_header(headers, "content-type");
    return type && type->starts_with("text/event-stream");
}

} // namespace

agent_request::agent_request(runtime::event_loop& loop, submitted_request request)
    : loop_(loop), request_(std::move(request)), parser_({}, request_.resume_from),
      next_token_(request_.resume_from)
{
    answer_pump::hooks callbacks;
    callbacks.on_window = [this](bool full)
    {
        if (call_ == nullptr)
            return;
        if (full)
            call_->pause();
        else
            call_->resume();
    };
    callbacks.on_lost = [this]
    {
        if (on_entry_lost)
            on_entry_lost();
    };
    pump_ = std::make_shared<answer_pump>(loop_, std::move(callbacks), request_.resume_from,
                                          !request_.idempotency_key.empty());
}

void agent_request::run(runtime::upstream_adapter const& adapter, std::string cache_salt,
                        base::duration idle_timeout, ended_hook ended)
{
    ended_ = std::move(ended);
    runtime::upstream_request out;
    out.id = upstream_id(request_.id);
    out.method = request_.method;
    out.target = request_.target;
    out.headers = request_.headers;
    out.body = request_.body;
    out.priority = request_.priority;
    out.resume_from = request_.resume_from;
    out.cache_salt = std::move(cache_salt);
    out.idle_timeout = idle_timeout;
    runtime::http_call_hooks hooks;
    hooks.on_head = [self = shared_from_this()](int status, runtime::http_headers const& headers)
    {
        self->take_head(status, headers);
    };
    hooks.on_chunk = [self = shared_from_this()](std::string_view bytes)
    {
        self->take_bytes(bytes);
    };
    hooks.on_done = [self = shared_from_this()](std::optional<runtime::http_failure> const& failure)
    {
        self->take_done(failure);
    };
    call_ = adapter.run(out, std::move(hooks));
}

void agent_request::stop(base::error reason)
{
    if (!ended_)
        return;
    runtime::request_outcome result;
    result.reason = std::move(reason);
    result.position = next_token_;
    end(std::move(result));
}

void agent_request::release_body()
{
    request_.body.clear();
    request_.body.shrink_to_fit();
    request_.headers.clear();
    on_entry_lost = nullptr;
    json_.clear();
}

void agent_request::take_head(int status, runtime::http_headers const& headers)
{
    written_ = true;
    status_ = status;
    event_stream_ = is_event_stream(headers);
    runtime::http_headers forwarded;
    for (auto const& it : headers)
    {
        // Framing belongs to each connection; the entry sets its own.
        bool const framing = runtime::equal_header_names(it.name, "connection") ||
                             runtime::equal_header_names(it.name, "keep-alive") ||
                             runtime::equal_header_names(it.name, "transfer-encoding") ||
                             runtime::equal_header_names(it.name, "content-length");
        if (!framing)
            forwarded.push_back(it);
    }
    pump_->head(status, std::move(forwarded));
}

void agent_request::take_bytes(std::string_view bytes)
{
    if (event_stream_)
    {
        take_events(bytes);
        return;
    }
    if (json_.size() + bytes.size() <= max_usage_text_bytes)
        json_ += bytes;
    auto const start = next_byte_;
    next_byte_ += bytes.size();
    pump_->chunk({start, next_byte_, std::string(bytes), true});
}

void agent_request::take_events(std::string_view bytes)
{
    std::vector<streams::stream_event> events;
    base::error reason;
    bool const intact = parser_.feed(bytes, events, reason);
    // One chunk carries whole events only, so that an entry can attach at any chunk.
    streams::replay_chunk chunk{next_token_, next_token_, {}, false};
    for (auto const& it : events)
    {
        chunk.bytes += it.raw;
        chunk.ends_with_token = it.id.has_value();
        if (it.id)
            next_token_ = *it.id + 1;
        base::error ignored;
        auto const usage = streams::parse_event_usage(it.data, ignored);
        usage_ = usage ? usage : usage_;
        done_seen_ = done_seen_ || it.data == "[DONE]";
    }
    chunk.end = next_token_;
    if (!chunk.bytes.empty())
        pump_->chunk(chunk);
    if (!intact)
        stop(reason);
}

void agent_request::take_done(std::optional<runtime::http_failure> const& failure)
{
    runtime::request_outcome result;
    if (failure)
    {
        written_ = written_ || failure->written;
        result.reason = failure->reason;
        result.position = next_token_;
        if (!written_)
        {
            result.end = runtime::request_outcome::kind::refused;
            result.retry_elsewhere = true;
            result.retry_after = std::chrono::seconds(1);
        }
        end(std::move(result));
        return;
    }
    written_ = true;
    if (event_stream_ && !done_seen_)
    {
        result.reason = {
            base::error_kind::crashed,
            "the upstream ended its stream before the end mark; send the request again"};
        result.position = next_token_;
        end(std::move(result));
        return;
    }
    if (!event_stream_ && status_ == 200)
    {
        base::error ignored;
        usage_ = streams::parse_chat_usage(json_, ignored);
    }
    result.end = runtime::request_outcome::kind::completed;
    if (usage_)
    {
        result.prompt_tokens = usage_->prompt_tokens;
        result.answer_tokens = usage_->completion_tokens;
        result.cached_tokens = usage_->cached_tokens;
    }
    end(std::move(result));
}

void agent_request::end(runtime::request_outcome result)
{
    auto const ended = std::exchange(ended_, nullptr);
    if (!ended)
        return;
    // The call's own hook may be on the stack; it is destroyed from the loop.
    std::shared_ptr<runtime::http_call> const call(std::move(call_));
    if (call)
        call->cancel();
    loop_.defer([call] {});
    ended(std::move(result));
}

} // namespace savorymount::agent
