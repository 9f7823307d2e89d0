#include <savorymount/runtime/callback_guard.hpp>
#include <savorymount/runtime/connection_socket.hpp>
#include <savorymount/runtime/inbound_connection.hpp>
#include <savorymount/runtime/log_events.hpp>

#include <event2/buffer.h>

#include <algorithm>
#include <sys/socket.h>
#include <utility>

namespace savorymount::runtime
{
namespace
{

using namespace std::chrono_literals;

// Input that waits behind a request that is being answered; more stays in the socket.
constexpr std::size_t read_ahead_bytes = std::size_t{64} * 1024;
// How long a closed connection reads on, so that the response is not lost to a reset.
constexpr base::duration linger_time = 1s;
constexpr base::duration client_silence = 3s;
// How long a client may accept no byte of a complete response.
constexpr base::duration client_stall_time = 5s;
// The kernel must not end a connection before the bound above does.
constexpr base::duration client_silence_at_output = 2 * client_stall_time;
constexpr base::duration output_check_interval = 250ms;
// Shorter than `client_silence`, which the kernel applies until the first check.
constexpr base::duration first_output_check = 1s;
// For a body that is being read; other connections have a small buffer.
constexpr int body_receive_buffer_bytes = 512 * 1024;
// The next request is not read while the client leaves more answers, and more bytes of them,
// unread.
constexpr std::size_t max_unread_output_bytes = std::size_t{64} * 1024;
constexpr std::size_t max_unread_answers = 2;
// Memory of a head for each of its bytes while its fields are not counted: a field of three bytes
// takes two strings.
constexpr std::size_t memory_per_head_byte = 16;
constexpr char const* continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

std::size_t memory_of(http_head const& head)
{
    std::size_t out = head.target.capacity() + head.headers.capacity() * sizeof(http_header);
    for (auto const& it : head.headers)
        out += it.name.capacity() + it.value.capacity();
    return out;
}

int status_of(base::error const& reason, bool in_body)
{
    if (reason.kind != base::error_kind::too_large)
        return 400;
    return in_body ? 413 : 431;
}

} // namespace

inbound_connection::inbound_connection(event_loop& loop, timer_service& timers,
                                       evutil_socket_t socket, inbound_hooks hooks)
    : timers_(timers), hooks_(std::move(hooks)),
      buffer_(bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE)),
      reader_(http_message_kind::request, limits().max_header_bytes,
              {[this](http_head const& head) { take_head(head); },
               [this](std::string_view bytes) { take_body(bytes); },
               [this]
               {
                   complete_ = true;
               }}),
      opened_at_(timers.now()), received_at_(opened_at_), idle_since_(opened_at_),
      allowed_silence_(client_silence)
{
    watch_for_silence(socket, client_silence);
    bufferevent_setcb(buffer_, handle_read, handle_write, handle_event, this);
    bufferevent_setwatermark(buffer_, EV_READ, 0, read_ahead_bytes);
    bufferevent_enable(buffer_, EV_READ | EV_WRITE);
    arm(limits().idle_timeout);
}

inbound_connection::~inbound_connection()
{
    if (buffer_ == nullptr)
        return;
    reset_if_unframed();
    bufferevent_free(buffer_);
}

void inbound_connection::read_body(std::shared_ptr<void> memory)
{
    if (phase_ != phase::receiving || body_state_ != body_state::held)
        return;
    body_state_ = body_state::reading;
    request_.memory = std::move(memory);
    auto const size =
        static_cast<std::size_t>(request_.head.content_length.value_or(limits().max_body_bytes));
    // Growing step by step would take up to three times the memory.
    request_.body.reserve(size);
    if (size > std::size_t{waiting_receive_buffer_bytes})
        set_receive_buffer(bufferevent_getfd(buffer_), body_receive_buffer_bytes);
    if (request_.head.expects_continue)
        send(continue_response);
    arm(limits().idle_timeout);
    bufferevent_enable(buffer_, EV_READ);
}

void inbound_connection::refuse_body(int status, http_headers headers, std::string_view body)
{
    if (phase_ != phase::receiving || body_state_ != body_state::held)
        return;
    auto const size = request_.head.content_length.value_or(limits().max_body_bytes);
    discardable_bytes_ = static_cast<std::size_t>(size) - request_.body.size();
    drop_request();
    keep_alive_ = false;
    phase_ = phase::responding;
    bufferevent_enable(buffer_, EV_READ);
    respond(status, std::move(headers), body);
}

void inbound_connection::respond(int status, http_headers headers, std::string_view body)
{
    if (phase_ != phase::responding)
        return;
    headers = framed(std::move(headers));
    bool const without_body = answers_head_ || has_no_body(status);
    if (!without_body)
        headers.push_back({"Content-Length", std::to_string(body.size())});
    send(serialize_response_head(status, headers));
    if (!without_body)
        send(body);
    end_response();
}

void inbound_connection::start(int status, http_headers headers)
{
    if (phase_ != phase::responding)
        return;
    if (answers_head_ || has_no_body(status))
        framing_ = body_framing::none;
    else
        framing_ = reads_chunks_ ? body_framing::chunks : body_framing::connection_end;
    if (framing_ == body_framing::connection_end)
        keep_alive_ = false;
    headers = framed(std::move(headers));
    if (framing_ == body_framing::chunks)
        headers.push_back({"Transfer-Encoding", "chunked"});
    send(serialize_response_head(status, headers));
}

void inbound_connection::write(std::string_view bytes)
{
    if (phase_ != phase::responding || bytes.empty() || framing_ == body_framing::none)
        return;
    if (framing_ == body_framing::connection_end)
    {
        send(bytes);
        return;
    }
    char size[24];
    auto const n = evutil_snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    send(std::string_view(size, static_cast<std::size_t>(n)));
    send(bytes);
    send("\r\n");
}

void inbound_connection::finish()
{
    if (phase_ != phase::responding)
        return;
    if (framing_ == body_framing::chunks)
        send("0\r\n\r\n");
    end_response();
}

void inbound_connection::abort()
{
    gone_ = nullptr;
    close();
}

void inbound_connection::interrupt()
{
    if (auto const hook = std::exchange(interrupted_, nullptr))
        hook();
}

std::size_t inbound_connection::buffered_bytes() const
{
    return buffer_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(buffer_));
}

std::size_t inbound_connection::unsent_bytes() const
{
    if (buffer_ == nullptr)
        return 0;
    return buffered_bytes() + unacknowledged_bytes(bufferevent_getfd(buffer_));
}

bool inbound_connection::has_unread_input() const
{
    if (buffer_ == nullptr)
        return false;
    char first_byte = 0;
    auto const n = recv(bufferevent_getfd(buffer_), &first_byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n > 0 || evbuffer_get_length(bufferevent_get_input(buffer_)) > 0;
}

std::size_t inbound_connection::head_memory() const
{
    if (phase_ != phase::receiving)
        return 0;
    if (body_state_ == body_state::unannounced)
        return memory_per_head_byte * head_bytes_;
    return head_memory_;
}

void inbound_connection::close()
{
    if (phase_ == phase::closed)
        return;
    auto const keep = shared_from_this();
    reset_if_unframed();
    phase_ = phase::closed;
    timeout_ = {};
    bufferevent_free(std::exchange(buffer_, nullptr));
    drained_ = nullptr;
    interrupted_ = nullptr;
    if (auto const hook = std::exchange(gone_, nullptr))
        hook();
    hooks_.closed(*this);
}

void inbound_connection::limits_changed()
{
    if (phase_ == phase::waiting && buffered_bytes() == 0)
        arm(remaining_idle_time());
}

void inbound_connection::handle_read(bufferevent*, void* self)
{
    auto const keep = static_cast<inbound_connection*>(self)->shared_from_this();
    keep->received_at_ = keep->timers_.now();
    if (!run_guarded("caller input", [&] { keep->read_input(); }))
        run_guarded("caller end", [&] { keep->close(); });
    if (keep->phase_ != phase::closed && keep->hooks_.input_read)
        keep->hooks_.input_read(*keep);
}

void inbound_connection::handle_write(bufferevent*, void* self)
{
    auto const keep = static_cast<inbound_connection*>(self)->shared_from_this();
    if (keep->buffered_bytes() == 0)
        keep->unread_answers_ = 0;
    if (auto const hook = std::exchange(keep->drained_, nullptr))
        run_guarded("caller output", hook);
    keep->output_drained();
    // Requests that were sent ahead may wait for the answers before them.
    if (keep->phase_ == phase::waiting &&
        evbuffer_get_length(bufferevent_get_input(keep->buffer_)) > 0)
        bufferevent_trigger(keep->buffer_, EV_READ,
                            BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void inbound_connection::handle_event(bufferevent*, short what, void* self)
{
    auto const keep = static_cast<inbound_connection*>(self)->shared_from_this();
    run_guarded("caller end", [&] { keep->handle_end(what); });
}

void inbound_connection::handle_end(short what)
{
    // A client that has ended its sending side may still read a response that is complete. While a
    // request runs, it can't be told from a client that has left.
    bool const complete = phase_ == phase::waiting || phase_ == phase::lingering;
    if ((what & BEV_EVENT_EOF) == 0 || !complete || buffered_bytes() == 0)
    {
        close();
        return;
    }
    client_ended_ = true;
    if (phase_ == phase::waiting)
        linger();
}

void inbound_connection::read_input()
{
    auto* const input = bufferevent_get_input(buffer_);
    if (phase_ == phase::lingering)
        discard_input();
    while ((phase_ == phase::waiting || phase_ == phase::receiving) &&
           evbuffer_get_length(input) > 0)
    {
        if (phase_ == phase::waiting)
        {
            if (unread_answers_ > max_unread_answers && buffered_bytes() > max_unread_output_bytes)
                return;
            phase_ = phase::receiving;
            head_bytes_ = 0;
            reader_.set_max_header_bytes(limits().max_header_bytes);
            arm(limits().header_timeout);
        }
        auto const n = evbuffer_get_contiguous_space(input);
        auto const* const bytes = reinterpret_cast<char const*>(evbuffer_pullup(input, n));
        base::error reason;
        auto const consumed = reader_.feed({bytes, static_cast<std::size_t>(n)}, reason);
        if (!consumed || refusal_)
        {
            reject(refusal_.value_or(reason));
            return;
        }
        evbuffer_drain(input, *consumed);
        head_bytes_ += *consumed;
        if (!std::exchange(complete_, false))
            continue;
        take_request();
        // The next request has its turn after the other connections.
        break;
    }
    if (phase_ == phase::receiving && body_state_ == body_state::head_arrived)
        announce_body();
}

void inbound_connection::announce_body()
{
    body_state_ = body_state::held;
    request_.head_arrived_at = timers_.now();
    if (!hooks_.body_announced)
    {
        read_body(nullptr);
        return;
    }
    // The hook may end the request, and its head with it.
    auto const head = request_.head;
    hooks_.body_announced(shared_from_this(), head);
    if (phase_ != phase::receiving || body_state_ != body_state::held)
        return;
    timeout_ = {};
    bufferevent_disable(buffer_, EV_READ);
}

void inbound_connection::discard_input()
{
    auto* const input = bufferevent_get_input(buffer_);
    auto const n = evbuffer_get_length(input);
    evbuffer_drain(input, n);
    if (n == 0 || discardable_bytes_ == 0)
        return;
    // A client may read the response only after it has sent the whole body.
    discardable_bytes_ -= std::min(n, discardable_bytes_);
    arm(linger_time);
    if (discardable_bytes_ == 0 && buffered_bytes() == 0)
        shutdown(bufferevent_getfd(buffer_), SHUT_WR);
}

base::error inbound_connection::body_too_large() const
{
    return {base::error_kind::too_large, "the body is larger than " +
                                             std::to_string(limits().max_body_bytes) +
                                             " bytes; send a smaller one"};
}

void inbound_connection::take_head(http_head const& head)
{
    request_ = {head, {}};
    keep_alive_ = head.keep_alive;
    answers_head_ = head.method == "HEAD";
    reads_chunks_ = head.reads_chunks;
    if (head.content_length.value_or(0) > limits().max_body_bytes)
    {
        refusal_ = body_too_large();
        return;
    }
    head_memory_ = memory_of(head);
    arm(limits().idle_timeout);
    body_state_ = body_state::head_arrived;
}

void inbound_connection::take_body(std::string_view bytes)
{
    if (refusal_)
        return;
    if (request_.body.size() + bytes.size() > limits().max_body_bytes)
    {
        refusal_ = body_too_large();
        return;
    }
    request_.body += bytes;
    arm(limits().idle_timeout);
}

void inbound_connection::take_request()
{
    phase_ = phase::responding;
    body_state_ = body_state::unannounced;
    timeout_ = {};
    allow_silence(client_silence);
    hooks_.request(shared_from_this(), std::exchange(request_, {}));
}

void inbound_connection::drop_request()
{
    // An assignment would keep the buffers, whose reservation ends now. The connection may go on
    // for seconds.
    std::exchange(request_, {});
}

void inbound_connection::reject(base::error const& reason)
{
    bool const in_body = refusal_.has_value();
    drop_request();
    if (in_body)
        discardable_bytes_ = limits().max_body_bytes;
    phase_ = phase::responding;
    keep_alive_ = false;
    respond(status_of(reason, in_body), {{"Content-Type", "text/plain"}}, reason.message + "\n");
    // What was read ahead is not needed, and the connection may linger.
    if (phase_ == phase::lingering)
        discard_input();
}

void inbound_connection::end_response()
{
    ++unread_answers_;
    gone_ = nullptr;
    if (!keep_alive_ || hooks_.draining())
    {
        linger();
        return;
    }
    phase_ = phase::waiting;
    framing_ = body_framing::none;
    await_output();
    // The next request may be in the buffer already; it is read after the current callback.
    bufferevent_trigger(buffer_, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void inbound_connection::linger()
{
    phase_ = phase::lingering;
    await_output();
}

void inbound_connection::await_output()
{
    output_advanced_at_ = timers_.now();
    last_unsent_bytes_ = unsent_bytes();
    if (buffered_bytes() == 0)
        output_drained();
    else
        arm(first_output_check);
}

void inbound_connection::output_drained()
{
    if (phase_ == phase::waiting)
    {
        idle_since_ = timers_.now();
        arm(std::min(first_output_check, limits().idle_timeout));
    }
    if (phase_ != phase::lingering)
        return;
    if (client_ended_)
    {
        close();
        return;
    }
    // Some clients read no response from a connection that ends while they send.
    if (discardable_bytes_ == 0)
        shutdown(bufferevent_getfd(buffer_), SHUT_WR);
    arm(linger_time);
}

bool inbound_connection::accepts_output()
{
    auto const unsent = unsent_bytes();
    if (unsent == 0)
        return false;
    auto const now = timers_.now();
    if (std::exchange(last_unsent_bytes_, unsent) != unsent)
        output_advanced_at_ = now;
    auto const waited = now - output_advanced_at_;
    if (waited < client_stall_time)
        return true;
    log(log_events::client_stalled,
        {{"unsent_bytes", unsent}, {"waited_ms", base::to_milliseconds(waited)}});
    return false;
}

void inbound_connection::allow_silence(base::duration silence)
{
    if (std::exchange(allowed_silence_, silence) != silence)
        watch_for_silence(bufferevent_getfd(buffer_), silence);
}

base::duration inbound_connection::remaining_idle_time() const
{
    return std::max(idle_since_ + limits().idle_timeout - timers_.now(), base::duration::zero());
}

void inbound_connection::arm(base::duration delay)
{
    timeout_ = timers_.after(delay, [this] { timed_out(); });
}

void inbound_connection::timed_out()
{
    auto const keep = shared_from_this();
    if (phase_ == phase::receiving)
    {
        drop_request();
        phase_ = phase::responding;
        keep_alive_ = false;
        respond(408, {}, "");
        return;
    }
    if (accepts_output())
    {
        allow_silence(client_silence_at_output);
        arm(output_check_interval);
        return;
    }
    bool const is_waiting = phase_ == phase::waiting && unsent_bytes() == 0;
    if (is_waiting && remaining_idle_time() > base::duration::zero())
    {
        arm(remaining_idle_time());
        return;
    }
    close();
}

http_headers inbound_connection::framed(http_headers headers)
{
    if (!keep_alive_ || hooks_.draining())
    {
        keep_alive_ = false;
        headers.push_back({"Connection", "close"});
    }
    return headers;
}

void inbound_connection::reset_if_unframed()
{
    bool const complete = phase_ == phase::lingering && buffered_bytes() == 0;
    if (complete || framing_ != body_framing::connection_end)
        return;
    struct linger const at_once{1, 0};
    setsockopt(bufferevent_getfd(buffer_), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

void inbound_connection::send(std::string_view bytes)
{
    if (buffer_ != nullptr)
        bufferevent_write(buffer_, bytes.data(), bytes.size());
}

} // namespace savorymount::runtime
