#include <savorymount/runtime/callback_guard.hpp>
#include <savorymount/runtime/http_server.hpp>

#include <event2/listener.h>

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace savorymount::runtime
{
namespace
{

constexpr int pending_connections = 1024;
constexpr int bad_request_status = 400;
constexpr int internal_error_status = 500;

constexpr ev_uint16_t all_methods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                    EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
                                    EVHTTP_REQ_TRACE | EVHTTP_REQ_CONNECT | EVHTTP_REQ_PATCH;

// evhttp reads no body for the other methods and takes a body for the next request.
bool reads_body(std::string const& method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

// Two parties that read the framing differently see different requests on one connection, and a
// caller behind a shared proxy could get another caller's response.
bool has_clear_framing(http_exchange const& exchange)
{
    int lengths = 0;
    int encodings = 0;
    bool has_body = false;
    for (auto const& it : exchange.headers())
    {
        if (equal_header_names(it.name, "Content-Length"))
        {
            ++lengths;
            has_body = has_body || it.value != "0";
            if (it.value.empty() || it.value.find_first_not_of("0123456789") != std::string::npos)
                return false;
        }
        if (equal_header_names(it.name, "Transfer-Encoding"))
        {
            ++encodings;
            has_body = true;
            if (!equal_header_names(it.value, "chunked"))
                return false;
        }
    }
    return lengths + encodings <= 1 && (!has_body || reads_body(exchange.method()));
}

} // namespace

http_server::http_server(event_loop& loop, http_limits const& limits,
                         std::function<void(std::shared_ptr<http_exchange>)> handler)
    : loop_(loop), limits_(limits), handler_(std::move(handler)), server_(evhttp_new(loop.base()))
{
    evhttp_set_max_headers_size(server_, static_cast<ev_ssize_t>(limits.max_header_bytes));
    evhttp_set_max_body_size(server_, static_cast<ev_ssize_t>(limits.max_body_bytes));
    evhttp_set_default_content_type(server_, nullptr);
    evhttp_set_allowed_methods(server_, all_methods);
    timeval const timeout{static_cast<time_t>(limits.read_timeout.count() / 1'000'000),
                          static_cast<suseconds_t>(limits.read_timeout.count() % 1'000'000)};
    evhttp_set_timeout_tv(server_, &timeout);
    evhttp_set_gencb(server_, handle_request, this);
}

http_server::~http_server()
{
    evhttp_free(server_);
}

std::optional<std::uint16_t> http_server::listen(network_address const& address,
                                                 base::error& reason)
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.host.c_str(), &name.sin_addr) != 1)
    {
        reason = {base::error_kind::invalid_input,
                  "\"" + address.host + "\" is no IPv4 number; give one such as 127.0.0.1"};
        return std::nullopt;
    }
    evconnlistener* const listener = evconnlistener_new_bind(
        loop_.base(), nullptr, nullptr,
        LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, pending_connections,
        reinterpret_cast<sockaddr const*>(&name), sizeof(name));
    if (listener == nullptr)
    {
        reason = {base::error_kind::unavailable, "can't listen on " + to_string(address) + ": " +
                                                     std::strerror(errno) +
                                                     "; choose a free port and a local address"};
        return std::nullopt;
    }
    sockets_.push_back(evhttp_bind_listener(server_, listener));
    socklen_t size = sizeof(name);
    getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr*>(&name), &size);
    return ntohs(name.sin_port);
}

void http_server::stop_accepting()
{
    stopping_ = true;
    for (evhttp_bound_socket* it : std::exchange(sockets_, {}))
        evhttp_del_accept_socket(server_, it);
    for (auto const& it : exchanges_)
        it.second->close_connection_afterwards();
}

void http_server::handle_request(evhttp_request* request, void* self)
{
    auto* const server = static_cast<http_server*>(self);
    auto const exchange = std::make_shared<http_exchange>(server->loop_, request, server->limits_,
                                                          [server](http_exchange const& it)
                                                          { server->exchanges_.erase(&it); });
    server->exchanges_[exchange.get()] = exchange;
    if (server->stopping_)
        exchange->close_connection_afterwards();
    if (!has_clear_framing(*exchange))
    {
        exchange->close_connection_afterwards();
        exchange->respond(bad_request_status, {}, "");
        return;
    }
    if (run_guarded("http request", [&] { server->handler_(exchange); }))
        return;
    exchange->close_connection_afterwards();
    exchange->respond(internal_error_status, {}, "");
}

} // namespace savorymount::runtime
