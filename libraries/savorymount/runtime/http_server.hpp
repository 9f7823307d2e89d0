#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/http_exchange.hpp>
#include <savorymount/runtime/http_limits.hpp>
#include <savorymount/runtime/settings_parser.hpp>

#include <event2/http.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace savorymount::runtime
{

/// An HTTP/1.1 server. Requests that are malformed, ambiguously framed or too large are refused
/// with a 4xx status and never reach the handler.
class http_server
{
public:
    /// `handler` must give each exchange a response.
    http_server(event_loop& loop, http_limits const& limits,
                std::function<void(std::shared_ptr<http_exchange>)> handler);

    /// Closes all connections; open exchanges get `on_close`.
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /// Starts to accept connections and returns the port. Port 0 lets the kernel choose one.
    std::optional<std::uint16_t> listen(network_address const& address, base::error& reason);

    /// Closes the listening sockets. Open connections are closed after their current response; a
    /// request that an idle connection sends afterwards still reaches the handler.
    void stop_accepting();

    /// Requests whose response is not completely sent.
    std::size_t open_exchanges() const { return exchanges_.size(); }

private:
    static void handle_request(evhttp_request* request, void* self);

    event_loop& loop_;
    http_limits limits_;
    std::function<void(std::shared_ptr<http_exchange>)> handler_;
    evhttp* server_;
    std::vector<evhttp_bound_socket*> sockets_;
    bool stopping_ = false;
    std::map<http_exchange const*, std::shared_ptr<http_exchange>> exchanges_;
};

} // namespace savorymount::runtime
