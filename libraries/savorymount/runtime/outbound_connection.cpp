#include <savorymount/runtime/callback_guard.hpp>
#include <savorymount/runtime/connection_socket.hpp>
#include <savorymount/runtime/outbound_connection.hpp>

#include <event2/buffer.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <netinet/in.h>
#include <utility>

namespace savorymount::runtime
{
namespace
{

// Bytes read ahead of a paused reader.
constexpr std::size_t read_ahead_bytes = std::size_t{64} * 1024;
// Copying more costs more than owning the original.
constexpr std::size_t max_copied_body_bytes = std::size_t{16} * 1024;
// A chunk of one byte takes six bytes; this leaves room for a short chunk extension.
constexpr std::size_t max_overhead_per_body_byte = 16;
constexpr base::duration request_end_check_interval = std::chrono::milliseconds(5);
constexpr std::int64_t max_idle_seconds = 86'400;

std::optional<base::duration> parse_idle_time(http_headers const& headers)
{
    auto const value = find_header(headers, "Keep-Alive");
    auto const at = value ? value->find("timeout=") : std::string::npos;
    if (at == std::string::npos)
        return std::nullopt;
    std::int64_t seconds = 0;
    char const* const first = value->data() + at + std::strlen("timeout=");
    if (std::from_chars(first, value->data() + value->size(), seconds).ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(std::clamp<std::int64_t>(seconds, 0, max_idle_seconds));
}

} // namespace

outbound_connection::outbound_connection(event_loop& loop, timer_service& timers,
                                         outbound_options options)
    : timers_(timers), options_(std::move(options)),
      buffer_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)),
      reader_(http_message_kind::response, options_.max_header_bytes,
              {[this](http_head const& head) { take_head(head); },
               [this](std::string_view bytes) { take_body(bytes); },
               [this]
               {
                   complete_ = true;
               }})
{
    bufferevent_setcb(buffer_, handle_read, nullptr, handle_event, this);
    bufferevent_setwatermark(buffer_, EV_READ, 0, read_ahead_bytes);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(options_.address.port);
    inet_pton(AF_INET, options_.address.host.c_str(), &name.sin_addr);
    // NOTE: A connect that fails at once is reported through the event callback as well.
    bufferevent_socket_connect(buffer_, reinterpret_cast<sockaddr*>(&name), sizeof(name));
    bufferevent_enable(buffer_, EV_READ);
    connect_timer_ = timers_.after(
        options_.connect_timeout,
        [this]
        {
            if (!connected_)
                peer_closed(false, "connecting to " + to_string(options_.address) + " timed out");
        });
}

outbound_connection::~outbound_connection()
{
    *alive_ = false;
    bufferevent_free(buffer_);
}

void outbound_connection::call(std::string const& head, std::string_view body, call_hooks hooks)
{
    if (begin_call(head, std::move(hooks)))
        bufferevent_write(buffer_, body.data(), body.size());
}

void outbound_connection::call(std::string const& head, std::shared_ptr<std::string const> body,
                               call_hooks hooks)
{
    if (body->size() <= max_copied_body_bytes)
    {
        call(head, std::string_view(*body), std::move(hooks));
        return;
    }
    if (!begin_call(head, std::move(hooks)))
        return;
    auto* const owner = new std::shared_ptr<std::string const>(std::move(body));
    evbuffer_add_reference(
        bufferevent_get_output(buffer_), (*owner)->data(), (*owner)->size(),
        [](void const*, std::size_t, void* it)
        { delete static_cast<std::shared_ptr<std::string const>*>(it); },
        owner);
}

bool outbound_connection::begin_call(std::string const& head, call_hooks hooks)
{
    hooks_ = std::move(hooks);
    in_call_ = true;
    ++calls_;
    skipping_ = false;
    received_bytes_ = 0;
    body_bytes_ = 0;
    rejection_.clear();
    reader_.expect_head_response(head.starts_with("HEAD "));
    if (broken_)
    {
        connect_timer_ = timers_.after(base::duration::zero(),
                                       [this] { peer_closed(false, "connecting failed at once"); });
        return false;
    }
    bufferevent_write(buffer_, head.data(), head.size());
    return true;
}

void outbound_connection::pause_reading(bool paused)
{
    is_paused_ = paused;
    if (paused)
        bufferevent_disable(buffer_, EV_READ);
    else
        bufferevent_enable(buffer_, EV_READ);
}

bool outbound_connection::reusable() const
{
    return connected_ && !in_call_ && !broken_ && !is_paused_ && keep_alive_;
}

void outbound_connection::handle_read(bufferevent*, void* self)
{
    auto& it = *static_cast<outbound_connection*>(self);
    it.run_or_fail([&it] { it.read_input(); });
}

void outbound_connection::handle_event(bufferevent*, short what, void* self)
{
    auto& it = *static_cast<outbound_connection*>(self);
    if ((what & BEV_EVENT_CONNECTED) != 0)
    {
        it.run_or_fail([&it] { it.handle_connected(); });
        return;
    }
    bool const in_good_order = (what & BEV_EVENT_EOF) != 0;
    auto const reason = in_good_order
                            ? std::string("the upstream closed the connection")
                            : std::string(evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
    it.run_or_fail([&] { it.peer_closed(in_good_order, reason); });
}

void outbound_connection::run_or_fail(std::function<void()> const& callback)
{
    auto const alive = alive_;
    if (run_guarded("upstream input", callback) || !*alive)
        return;
    if (in_call_)
        run_guarded("upstream end",
                    [this] { fail(call_failure::malformed, "the response could not be handled"); });
    else
        broken_ = true;
}

void outbound_connection::handle_connected()
{
    connect_timer_ = {};
    if (in_call_ && hooks_.may_send && !hooks_.may_send())
    {
        // Nothing was written yet: libevent writes after this callback.
        auto* const output = bufferevent_get_output(buffer_);
        evbuffer_drain(output, evbuffer_get_length(output));
        fail(call_failure::not_sent, "the permission to send ended before the connection was open");
        return;
    }
    connected_ = true;
    watch_for_silence(bufferevent_getfd(buffer_), options_.silence);
}

void outbound_connection::read_input()
{
    auto const alive = alive_;
    auto* const input = bufferevent_get_input(buffer_);
    while (evbuffer_get_length(input) > 0)
    {
        if (!in_call_)
        {
            end_idle();
            return;
        }
        auto const n = evbuffer_get_contiguous_space(input);
        auto const* const bytes = reinterpret_cast<char const*>(evbuffer_pullup(input, n));
        base::error reason;
        auto const consumed = reader_.feed({bytes, static_cast<std::size_t>(n)}, reason);
        if (!*alive)
            return;
        if (!consumed)
        {
            fail(call_failure::malformed, reason.message);
            return;
        }
        evbuffer_drain(input, *consumed);
        received_bytes_ += *consumed;
        if (auto const rejection = rejection_reason(); !rejection.empty())
        {
            fail(call_failure::malformed, rejection);
            return;
        }
        if (!std::exchange(complete_, false))
            continue;
        take_end();
        if (!*alive)
            return;
    }
}

void outbound_connection::take_head(http_head const& head)
{
    skipping_ = hooks_.answers && !hooks_.answers(head);
    keep_alive_ = head.keep_alive;
    announced_idle_time_ = parse_idle_time(head.headers);
    if (!skipping_)
        hooks_.head(head);
}

void outbound_connection::take_body(std::string_view bytes)
{
    if (skipping_)
        return;
    body_bytes_ += bytes.size();
    if (hooks_.body)
        hooks_.body(bytes);
}

std::string outbound_connection::rejection_reason() const
{
    if (!rejection_.empty())
        return rejection_;
    auto const overhead = received_bytes_ - body_bytes_;
    auto const allowed = options_.max_overhead_bytes + body_bytes_ * max_overhead_per_body_byte;
    if (overhead <= allowed)
        return {};
    return "the upstream sent " + std::to_string(overhead) +
           " bytes besides the body of its response; at most " + std::to_string(allowed) +
           " are accepted (response-overhead-kib)";
}

void outbound_connection::take_end()
{
    if (std::exchange(skipping_, false))
        return;
    // Bytes after the response belong to no request, and a request that is not written completely
    // leaves the peer waiting for its rest: neither connection may carry another call.
    bool const output_left = evbuffer_get_length(bufferevent_get_output(buffer_)) > 0;
    bool const input_left = evbuffer_get_length(bufferevent_get_input(buffer_)) > 0;
    if (output_left || input_left)
        broken_ = true;
    in_call_ = false;
    idle_since_ = timers_.now();
    auto const hooks = std::exchange(hooks_, {});
    hooks.done();
}

void outbound_connection::fail(call_failure kind, std::string const& reason)
{
    broken_ = true;
    in_call_ = false;
    request_end_timer_ = {};
    bufferevent_disable(buffer_, EV_READ | EV_WRITE);
    auto const hooks = std::exchange(hooks_, {});
    hooks.failed(kind, reason);
}

void outbound_connection::peer_closed(bool in_good_order, std::string const& reason)
{
    broken_ = true;
    connect_timer_ = {};
    if (!in_call_)
    {
        end_idle();
        return;
    }
    if (!in_good_order || skipping_ || !reader_.ends_with_connection())
        fail(connected_ ? call_failure::lost : call_failure::not_sent, reason);
    else if (request_is_under_way())
        await_request_end();
    else
        end_response_with_connection();
}

bool outbound_connection::request_is_under_way() const
{
    return evbuffer_get_length(bufferevent_get_output(buffer_)) > 0 ||
           unacknowledged_bytes(bufferevent_getfd(buffer_)) > 0;
}

void outbound_connection::await_request_end()
{
    // A peer that closes its side in the middle of the request may reset the connection when it
    // sees the rest. The reset would have told that its response is not whole.
    request_end_timer_ = timers_.every(request_end_check_interval,
                                       [this] { run_or_fail([this] { check_request_end(); }); });
}

void outbound_connection::check_request_end()
{
    if (has_failed(bufferevent_getfd(buffer_)))
        fail(call_failure::lost, "the upstream reset the connection while the request was sent");
    else if (!request_is_under_way())
        end_response_with_connection();
}

void outbound_connection::end_response_with_connection()
{
    request_end_timer_ = {};
    auto const alive = alive_;
    bool const whole = reader_.finish();
    if (!*alive)
        return;
    if (whole)
        take_end();
    else
        fail(call_failure::lost, "the response did not end with its connection");
}

void outbound_connection::end_idle()
{
    broken_ = true;
    bufferevent_disable(buffer_, EV_READ | EV_WRITE);
    if (auto const hook = std::exchange(idle_end_, nullptr))
        hook();
}

} // namespace savorymount::runtime
