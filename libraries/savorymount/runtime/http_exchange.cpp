#include <savorymount/runtime/http_exchange.hpp>

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace savorymount::runtime
{
namespace
{

constexpr std::size_t low_water_bytes = std::size_t{64} * 1024;

// Bounds what a caller can send ahead while its request is being handled.
constexpr std::size_t read_ahead_bytes = std::size_t{64} * 1024;

constexpr int no_content_status = 204;
constexpr int not_modified_status = 304;

char const* method_name(evhttp_cmd_type type)
{
    switch (type)
    {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_TRACE:
        return "TRACE";
    case EVHTTP_REQ_CONNECT:
        return "CONNECT";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    }
    return "";
}

timeval to_timeval(base::duration duration)
{
    return {static_cast<time_t>(duration.count() / 1'000'000),
            static_cast<suseconds_t>(duration.count() % 1'000'000)};
}

std::string take_all(evbuffer* buffer)
{
    std::string out(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, out.data(), out.size());
    return out;
}

} // namespace

http_exchange::http_exchange(event_loop& loop, evhttp_request* request, http_limits const& limits,
                             std::function<void(http_exchange const&)> ended)
    : loop_(loop), limits_(limits), ended_(std::move(ended)), request_(request),
      connection_(evhttp_request_get_connection(request)),
      reads_chunks_(request->major > 1 || request->minor > 0),
      method_(method_name(evhttp_request_get_command(request))),
      target_(evhttp_request_get_uri(request)),
      body_(take_all(evhttp_request_get_input_buffer(request)))
{
    for (evkeyval* it = evhttp_request_get_input_headers(request)->tqh_first; it != nullptr;
         it = it->next.tqe_next)
        headers_.push_back({it->key, it->value});
    watch_connection();
}

http_exchange::~http_exchange() = default;

void http_exchange::watch_connection()
{
    bufferevent* const buffer = evhttp_connection_get_bufferevent(connection_);
    // evhttp stops reading while a request is handled, and ends the process if bytes arrive then.
    // Without its read callback, reading goes on and shows when the caller closes the connection.
    bufferevent_data_cb write_hook = nullptr;
    bufferevent_event_cb event_hook = nullptr;
    void* argument = nullptr;
    bufferevent_getcb(buffer, nullptr, &write_hook, &event_hook, &argument);
    bufferevent_setcb(buffer, nullptr, write_hook, event_hook, argument);
    bufferevent_setwatermark(buffer, EV_READ, 0, read_ahead_bytes);
    timeval const write_timeout = to_timeval(limits_.write_timeout);
    bufferevent_set_timeouts(buffer, nullptr, &write_timeout);
    bufferevent_enable(buffer, EV_READ);
    // Streams consist of many small writes, each of which must leave at once.
    int const on = 1;
    setsockopt(bufferevent_getfd(buffer), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    output_watch_ = evbuffer_add_cb(bufferevent_get_output(buffer), handle_output, this);
    evhttp_connection_set_closecb(connection_, handle_close, this);
    evhttp_request_set_on_complete_cb(request_, handle_sent, this);
}

void http_exchange::respond(int status, http_headers const& headers, std::string_view body)
{
    if (request_ == nullptr || started_)
        return;
    auto const self = shared_from_this();
    started_ = true;
    add_headers(headers);
    bool const has_body =
        method_ != "HEAD" && status != no_content_status && status != not_modified_status;
    evbuffer* const buffer = evbuffer_new();
    if (has_body)
        evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(std::exchange(request_, nullptr), status, nullptr, buffer);
    evbuffer_free(buffer);
}

void http_exchange::start(int status, http_headers const& headers)
{
    if (request_ == nullptr || started_)
        return;
    started_ = true;
    add_headers(headers);
    if (!reads_chunks_)
        close_connection_afterwards();
    evhttp_send_reply_start(request_, status, nullptr);
}

void http_exchange::end_body_with_connection()
{
    if (request_ == nullptr || started_)
        return;
    // evhttp frames a body neither by length nor in chunks only in responses of HTTP/1.0.
    request_->major = 1;
    request_->minor = 0;
    reads_chunks_ = false;
}

void http_exchange::write(std::string_view bytes)
{
    if (request_ == nullptr || !started_ || aborting_ || bytes.empty())
        return;
    evbuffer* const buffer = evbuffer_new();
    evbuffer_add(buffer, bytes.data(), bytes.size());
    evhttp_send_reply_chunk(request_, buffer);
    evbuffer_free(buffer);
}

std::size_t http_exchange::buffered_bytes() const
{
    if (connection_ == nullptr)
        return 0;
    return evbuffer_get_length(
        bufferevent_get_output(evhttp_connection_get_bufferevent(connection_)));
}

void http_exchange::when_drained(std::function<void()> hook)
{
    if (request_ == nullptr || aborting_)
        return;
    drained_ = std::move(hook);
    if (buffered_bytes() < low_water_bytes)
        run_drained_hook();
}

void http_exchange::finish()
{
    if (request_ == nullptr || aborting_)
        return;
    auto const self = shared_from_this();
    if (!started_)
        start(200, {});
    evhttp_send_reply_end(std::exchange(request_, nullptr));
}

void http_exchange::abort()
{
    if (request_ == nullptr || aborting_)
        return;
    aborting_ = true;
    if (buffered_bytes() == 0)
        close_connection_later();
}

void http_exchange::on_close(std::function<void()> hook)
{
    closed_ = std::move(hook);
}

void http_exchange::close_connection_afterwards()
{
    if (request_ == nullptr)
        return;
    evkeyvalq* const output = evhttp_request_get_output_headers(request_);
    evhttp_remove_header(output, "Connection");
    evhttp_add_header(output, "Connection", "close");
    // evhttp would keep the connection of a caller of HTTP/1.0 that asked for it.
    evhttp_remove_header(evhttp_request_get_input_headers(request_), "Connection");
}

void http_exchange::handle_output(evbuffer* buffer, evbuffer_cb_info const* info, void* self)
{
    auto* const exchange = static_cast<http_exchange*>(self);
    if (info->n_deleted == 0)
        return;
    std::size_t const n = evbuffer_get_length(buffer);
    if (exchange->aborting_ && n == 0)
        exchange->close_connection_later();
    if (n < low_water_bytes)
        exchange->run_drained_hook();
}

void http_exchange::handle_close(evhttp_connection*, void* self)
{
    auto* const exchange = static_cast<http_exchange*>(self);
    evhttp_request* const request = std::exchange(exchange->request_, nullptr);
    if (request != nullptr)
    {
        // evhttp frees a request that is still attached, and leaves a detached one to its user.
        if (evhttp_request_get_connection(request) == nullptr)
            evhttp_request_free(request);
        if (!exchange->aborting_ && exchange->closed_)
            exchange->loop_.defer(std::move(exchange->closed_));
    }
    exchange->end();
}

void http_exchange::handle_sent(evhttp_request*, void* self)
{
    auto* const exchange = static_cast<http_exchange*>(self);
    bufferevent* const buffer = evhttp_connection_get_bufferevent(exchange->connection_);
    evbuffer_remove_cb_entry(bufferevent_get_output(buffer), exchange->output_watch_);
    evhttp_connection_set_closecb(exchange->connection_, nullptr, nullptr);
    bufferevent_setwatermark(buffer, EV_READ, 0, 0);
    timeval const read_timeout = to_timeval(exchange->limits_.read_timeout);
    timeval const write_timeout = to_timeval(exchange->limits_.write_timeout);
    bufferevent_set_timeouts(buffer, &read_timeout, &write_timeout);
    exchange->end();
}

void http_exchange::add_headers(http_headers const& headers)
{
    evkeyvalq* const output = evhttp_request_get_output_headers(request_);
    for (auto const& it : headers)
    {
        if (equal_header_names(it.name, "Content-Length") ||
            equal_header_names(it.name, "Transfer-Encoding"))
            continue;
        evhttp_add_header(output, it.name.c_str(), it.value.c_str());
    }
}

void http_exchange::run_drained_hook()
{
    if (drained_)
        loop_.defer(std::exchange(drained_, nullptr));
}

void http_exchange::close_connection_later()
{
    loop_.defer(
        [self = shared_from_this()]
        {
            if (self->connection_ == nullptr)
                return;
            if (self->started_ && !self->reads_chunks_)
                self->reset_connection();
            evhttp_connection_free(self->connection_);
        });
}

void http_exchange::reset_connection()
{
    // evhttp shuts its socket down in order before it closes it, so a linger time of zero would
    // come too late. Linux resets a connection whose socket is disconnected.
    sockaddr unspecified{};
    unspecified.sa_family = AF_UNSPEC;
    (void)::connect(bufferevent_getfd(evhttp_connection_get_bufferevent(connection_)), &unspecified,
                    sizeof(unspecified));
}

void http_exchange::end()
{
    auto const self = shared_from_this();
    connection_ = nullptr;
    // The hooks may own the exchange; dropping them lets it go.
    drained_ = nullptr;
    closed_ = nullptr;
    ended_(*this);
}

} // namespace savorymount::runtime
