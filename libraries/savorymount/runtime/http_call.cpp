#include <savorymount/runtime/http_call.hpp>
#include <savorymount/runtime/response_rules.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace savorymount::runtime
{
namespace
{

constexpr ev_ssize_t max_header_bytes = ev_ssize_t{64} * 1024;

// evhttp's own timeouts cover connecting, reading and writing alike; the call measures its own.
constexpr timeval no_timeout{31'536'000, 0};

std::optional<evhttp_cmd_type> parse_method(std::string_view name)
{
    struct entry
    {
        std::string_view name;
        evhttp_cmd_type type;
    };
    static constexpr entry entries[] = {
        {"GET", EVHTTP_REQ_GET},     {"POST", EVHTTP_REQ_POST},     {"HEAD", EVHTTP_REQ_HEAD},
        {"PUT", EVHTTP_REQ_PUT},     {"DELETE", EVHTTP_REQ_DELETE}, {"OPTIONS", EVHTTP_REQ_OPTIONS},
        {"TRACE", EVHTTP_REQ_TRACE}, {"PATCH", EVHTTP_REQ_PATCH},
    };
    for (auto const& it : entries)
    {
        if (it.name == name)
            return it.type;
    }
    return std::nullopt;
}

// The call frames the body itself, never reuses the connection and waits for no interim response.
bool is_framing_header(std::string_view name)
{
    return equal_header_names(name, "Expect") || equal_header_names(name, "Content-Length") ||
           equal_header_names(name, "Transfer-Encoding") || equal_header_names(name, "Connection");
}

bool expects_length(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

/// Lives until evhttp has let go of the connection, which may be after the call is destroyed.
class http_call::transfer : public std::enable_shared_from_this<transfer>
{
public:
    transfer(event_loop& loop, http_call_request request, http_call_hooks hooks)
        : loop_(loop), timers_(loop), request_(std::move(request)), hooks_(std::move(hooks))
    {
    }

    /// Connects from the loop, so that no hook is called while the call is constructed.
    void schedule()
    {
        loop_.defer(
            [weak = weak_from_this()]
            {
                if (auto const self = weak.lock())
                    self->connect();
            });
    }

    void pause()
    {
        paused_ = true;
        apply_pause();
    }

    void resume()
    {
        paused_ = false;
        last_received_ = loop_.now();
        apply_pause();
    }

    void close()
    {
        if (ended_)
            return;
        ended_ = true;
        connect_timer_ = {};
        idle_timer_ = {};
        release();
    }

private:
    void connect()
    {
        if (ended_)
            return;
        auto const method = parse_method(request_.method);
        if (!method)
        {
            fail({base::error_kind::invalid_input,
                  "method \"" + request_.method + "\" is not supported; use a standard one"});
            return;
        }
        connection_ = evhttp_connection_base_new(
            loop_.base(), nullptr, request_.address.host.c_str(), request_.address.port);
        evhttp_connection_set_retries(connection_, 0);
        evhttp_connection_set_timeout_tv(connection_, &no_timeout);
        evhttp_connection_set_max_headers_size(connection_, max_header_bytes);
        // NOTE: EVHTTP_CON_READ_ON_WRITE_ERROR stays off. With it, evhttp 2.1.12 never reports the
        // end of a connection that closes in the middle of a chunk or line.
        bufferevent* const buffer = evhttp_connection_get_bufferevent(connection_);
        output_watch_ = evbuffer_add_cb(bufferevent_get_output(buffer), handle_output, this);
        connect_timer_ =
            timers_.after(request_.connect_timeout, [this] { handle_connect_timeout(); });
        auto const self = shared_from_this();
        ++callbacks_;
        int const result =
            evhttp_make_request(connection_, make_request(), *method, request_.target.c_str());
        --callbacks_;
        if (result != 0)
            fail({base::error_kind::unavailable, "the request could not be started"});
    }

    evhttp_request* make_request()
    {
        evhttp_request* const out = evhttp_request_new(handle_complete, this);
        evhttp_request_set_header_cb(out, handle_head);
        evhttp_request_set_chunked_cb(out, handle_chunk);
        evhttp_request_set_error_cb(out, handle_error);
        evkeyvalq* const headers = evhttp_request_get_output_headers(out);
        for (auto const& it : request_.headers)
        {
            if (!is_framing_header(it.name))
                evhttp_add_header(headers, it.name.c_str(), it.value.c_str());
        }
        if (!find_header(request_.headers, "Host"))
            evhttp_add_header(headers, "Host", to_string(request_.address).c_str());
        evhttp_add_header(headers, "Connection", "close");
        if (!request_.body.empty() || expects_length(request_.method))
            evhttp_add_header(headers, "Content-Length",
                              std::to_string(request_.body.size()).c_str());
        evbuffer_add(evhttp_request_get_output_buffer(out), request_.body.data(),
                     request_.body.size());
        return out;
    }

    static void handle_output(evbuffer*, evbuffer_cb_info const* info, void* argument)
    {
        auto* const self = static_cast<transfer*>(argument);
        if (info->n_added > 0 && !self->connected_)
            self->handle_connected();
        if (info->n_deleted > 0)
            self->written_ = true;
    }

    // evhttp writes the request when the connection is established and not before.
    void handle_connected()
    {
        connected_ = true;
        connect_timer_ = {};
        last_received_ = loop_.now();
        int const on = 1;
        setsockopt(bufferevent_getfd(evhttp_connection_get_bufferevent(connection_)), IPPROTO_TCP,
                   TCP_NODELAY, &on, sizeof(on));
        if (request_.idle_timeout > base::duration::zero())
            watch_idle(request_.idle_timeout);
    }

    void watch_idle(base::duration delay)
    {
        idle_timer_ = timers_.after(delay, [this] { handle_idle_timer(); });
    }

    void handle_idle_timer()
    {
        if (paused_)
        {
            watch_idle(request_.idle_timeout);
            return;
        }
        base::duration const idle = loop_.now() - last_received_;
        if (idle < request_.idle_timeout)
        {
            watch_idle(request_.idle_timeout - idle);
            return;
        }
        fail({base::error_kind::deadline, to_string(request_.address) + " sent nothing for " +
                                              std::to_string(request_.idle_timeout.count() / 1000) +
                                              " ms"});
    }

    void handle_connect_timeout()
    {
        fail({base::error_kind::unavailable,
              to_string(request_.address) + " did not accept a connection in " +
                  std::to_string(request_.connect_timeout.count() / 1000) + " ms"});
    }

    static int handle_head(evhttp_request* request, void* argument)
    {
        auto const self = static_cast<transfer*>(argument)->shared_from_this();
        self->last_received_ = self->loop_.now();
        int const status = evhttp_request_get_response_code(request);
        if (self->ended_ || is_interim_status(status))
            return 0;
        http_headers headers;
        for (evkeyval* it = evhttp_request_get_input_headers(request)->tqh_first; it != nullptr;
             it = it->next.tqe_next)
            headers.push_back({it->key, it->value});
        if (auto const fault = response_fault(status, headers); !fault.empty())
        {
            ++self->callbacks_;
            self->fail({base::error_kind::unavailable,
                        to_string(self->request_.address) + " sent no response: " + fault});
            --self->callbacks_;
            return -1;
        }
        self->head_received_ = true;
        // evhttp takes a body without a length for an empty one if a connection option other than
        // "close" is present. The connection is used once, so its options do not matter here.
        while (evhttp_remove_header(evhttp_request_get_input_headers(request), "Connection") == 0)
            ;
        ++self->callbacks_;
        if (self->hooks_.on_head)
            self->hooks_.on_head(status, headers);
        self->keep_paused();
        --self->callbacks_;
        return 0;
    }

    static void handle_chunk(evhttp_request* request, void* argument)
    {
        auto const self = static_cast<transfer*>(argument)->shared_from_this();
        self->last_received_ = self->loop_.now();
        evbuffer* const buffer = evhttp_request_get_input_buffer(request);
        std::size_t const n = evbuffer_get_length(buffer);
        if (self->ended_ || n == 0)
            return;
        auto const* const bytes = reinterpret_cast<char const*>(evbuffer_pullup(buffer, -1));
        ++self->callbacks_;
        if (self->hooks_.on_chunk)
            self->hooks_.on_chunk({bytes, n});
        self->keep_paused();
        --self->callbacks_;
        evbuffer_drain(buffer, n);
    }

    static void handle_error(evhttp_request_error error, void* argument)
    {
        auto* const self = static_cast<transfer*>(argument);
        int const ec = errno;
        std::string const peer = to_string(self->request_.address);
        if (error == EVREQ_HTTP_INVALID_HEADER)
            self->failure_ = {base::error_kind::unavailable, peer + " sent a malformed response"};
        else if (error == EVREQ_HTTP_DATA_TOO_LONG)
            self->failure_ = {base::error_kind::too_large, peer + " sent too large a response"};
        else
            self->failure_ = {base::error_kind::unavailable,
                              "the connection to " + peer + " was lost" +
                                  (ec == ECONNRESET || ec == EPIPE
                                       ? std::string(": ") + std::strerror(ec)
                                       : std::string())};
    }

    static void handle_complete(evhttp_request* request, void* argument)
    {
        auto const self = static_cast<transfer*>(argument)->shared_from_this();
        if (self->ended_)
            return;
        ++self->callbacks_;
        if (request != nullptr && self->head_received_)
            self->end(std::nullopt);
        else if (self->failure_)
            self->fail(*self->failure_);
        else
            self->fail(
                {base::error_kind::unavailable, to_string(self->request_.address) +
                                                    " refused the connection or can't be reached"});
        --self->callbacks_;
    }

    void fail(base::error const& reason) { end(http_failure{reason, written_, head_received_}); }

    void end(std::optional<http_failure> const& failure)
    {
        auto const self = shared_from_this();
        auto const hook = std::move(hooks_.on_done);
        close();
        if (hook)
            hook(failure);
    }

    /// Frees the connection, but not under a callback of evhttp, which goes on to use it.
    void release()
    {
        if (callbacks_ > 0)
        {
            loop_.defer([self = shared_from_this()] { self->free_connection(); });
            return;
        }
        free_connection();
    }

    void free_connection()
    {
        hooks_ = {};
        if (connection_ == nullptr)
            return;
        evhttp_connection* const connection = std::exchange(connection_, nullptr);
        evbuffer_remove_cb_entry(
            bufferevent_get_output(evhttp_connection_get_bufferevent(connection)), output_watch_);
        evhttp_connection_free(connection);
    }

    void keep_paused()
    {
        if (paused_)
            apply_pause();
    }

    /// evhttp turns reading on again when a callback returns, so the state is set afterwards.
    void apply_pause()
    {
        if (callbacks_ == 0)
        {
            set_reading();
            return;
        }
        loop_.defer(
            [weak = weak_from_this()]
            {
                if (auto const self = weak.lock())
                    self->set_reading();
            });
    }

    void set_reading()
    {
        if (connection_ == nullptr || ended_ || !connected_)
            return;
        bufferevent* const buffer = evhttp_connection_get_bufferevent(connection_);
        if (paused_)
            bufferevent_disable(buffer, EV_READ);
        else
            bufferevent_enable(buffer, EV_READ);
    }

    event_loop& loop_;
    timer_service timers_;
    http_call_request request_;
    http_call_hooks hooks_;
    evhttp_connection* connection_ = nullptr;
    evbuffer_cb_entry* output_watch_ = nullptr;
    timer_service::subscription connect_timer_;
    timer_service::subscription idle_timer_;
    std::optional<base::error> failure_;
    base::time_point last_received_;
    /// Callbacks of evhttp that are running now.
    int callbacks_ = 0;
    bool connected_ = false;
    bool written_ = false;
    bool head_received_ = false;
    bool paused_ = false;
    bool ended_ = false;
};

http_call::http_call(event_loop& loop, http_call_request request, http_call_hooks hooks)
    : transfer_(std::make_shared<transfer>(loop, std::move(request), std::move(hooks)))
{
    transfer_->schedule();
}

http_call::~http_call()
{
    cancel();
}

void http_call::pause()
{
    transfer_->pause();
}

void http_call::resume()
{
    transfer_->resume();
}

void http_call::cancel()
{
    transfer_->close();
}

} // namespace savorymount::runtime
