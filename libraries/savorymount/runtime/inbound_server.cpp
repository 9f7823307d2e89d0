#include <savorymount/runtime/connection_socket.hpp>
#include <savorymount/runtime/inbound_server.hpp>
#include <savorymount/runtime/log_events.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

namespace savorymount::runtime
{
namespace
{

using namespace std::chrono_literals;

constexpr int accept_backlog = 512;
constexpr base::duration min_pause_report_interval = 1s;

} // namespace

inbound_server::inbound_server(event_loop& loop, timer_service& timers, request_hook hook,
                               inbound_bounds const& bounds)
    : loop_(loop), timers_(timers), hook_(std::move(hook)), bounds_(bounds),
      heads_(bounds.max_head_bytes)
{
}

inbound_server::~inbound_server()
{
    if (listener_ != nullptr)
        evconnlistener_free(std::exchange(listener_, nullptr));
    auto const open = std::exchange(connections_, {});
    for (auto const& it : open)
        it.second->close();
}

std::optional<std::uint16_t> inbound_server::listen(network_address const& address,
                                                    base::error& reason)
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &name.sin_addr);
    listener_ = evconnlistener_new_bind(loop_.base(), handle_accept, this,
                                        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, accept_backlog,
                                        reinterpret_cast<sockaddr*>(&name), sizeof(name));
    if (listener_ == nullptr)
    {
        reason = {base::error_kind::unavailable, "cannot listen on " + to_string(address) + ": " +
                                                     std::strerror(errno) +
                                                     "; choose a free address of this instance"};
        return std::nullopt;
    }
    // Connections inherit it from the listening socket.
    set_receive_buffer(evconnlistener_get_fd(listener_), waiting_receive_buffer_bytes);
    socklen_t size = sizeof(name);
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&name), &size);
    return ntohs(name.sin_port);
}

void inbound_server::set_limits(configuration::client_limits const& limits)
{
    if (limits == limits_)
        return;
    limits_ = limits;
    for (auto const& it : connections_)
        it.second->limits_changed();
}

void inbound_server::close_idle(base::duration min_age)
{
    if (listener_ != nullptr)
    {
        accept_pending();
        evconnlistener_free(std::exchange(listener_, nullptr));
    }
    std::vector<std::shared_ptr<inbound_connection>> idle;
    for (auto const& it : connections_)
    {
        bool const is_old = timers_.now() - it.second->opened_at() >= min_age;
        if (is_old && it.second->idle() && !it.second->has_unread_input())
            idle.push_back(it.second);
    }
    for (auto const& it : idle)
        it->close();
}

std::size_t inbound_server::interrupt_busy()
{
    std::vector<std::shared_ptr<inbound_connection>> busy;
    for (auto const& it : connections_)
    {
        if (it.second->busy())
            busy.push_back(it.second);
    }
    for (auto const& it : busy)
        it->interrupt();
    return busy.size();
}

void inbound_server::accept_pending()
{
    // Closing the listener resets the connections that the kernel has accepted already.
    for (;;)
    {
        auto const socket = accept4(evconnlistener_get_fd(listener_), nullptr, nullptr,
                                    SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0)
            return;
        accept(socket);
    }
}

std::size_t inbound_server::busy_connections() const
{
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                  [](auto const& it)
                                                  { return it.second->busy(); }));
}

std::size_t inbound_server::unsent_responses() const
{
    return static_cast<std::size_t>(std::count_if(
        connections_.begin(), connections_.end(),
        [](auto const& it) { return !it.second->busy() && it.second->unsent_bytes() > 0; }));
}

void inbound_server::handle_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int,
                                   void* self)
{
    static_cast<inbound_server*>(self)->accept(socket);
}

void inbound_server::accept(evutil_socket_t socket)
{
    inbound_hooks hooks;
    hooks.request = hook_;
    hooks.body_announced = body_hook_;
    hooks.input_read = [this](inbound_connection const& it)
    {
        heads_.update(timers_.now(), &it, it.head_memory());
        end_excess();
    };
    hooks.closed = [this](inbound_connection const& it)
    {
        connection_closed(it);
    };
    hooks.limits = [this]
    {
        return limits_;
    };
    hooks.draining = [this]
    {
        return draining_;
    };
    auto const it = std::make_shared<inbound_connection>(loop_, timers_, socket, std::move(hooks));
    connections_.emplace(it.get(), it);
    if (connections_.size() >= bounds_.max_connections)
        make_room(*it);
}

void inbound_server::make_room(inbound_connection const& newest)
{
    auto const ends_before = [](inbound_connection const& it, inbound_connection const& other)
    {
        if (it.idle() != other.idle())
            return it.idle();
        return it.received_at() < other.received_at();
    };
    std::shared_ptr<inbound_connection> out;
    for (auto const& [key, it] : connections_)
    {
        // A request that runs, or an answer that is still being sent, is not cut off.
        bool const may_end = it.get() != &newest && !it->busy() && it->unsent_bytes() == 0;
        if (may_end && (!out || ends_before(*it, *out)))
            out = it;
    }
    if (out)
    {
        out->close();
        return;
    }
    pause_accepting();
}

void inbound_server::pause_accepting()
{
    if (listener_ == nullptr)
        return;
    evconnlistener_disable(listener_);
    auto const now = timers_.now();
    if (now < next_pause_report_at_)
        return;
    next_pause_report_at_ = now + min_pause_report_interval;
    log(log_events::accepting_paused, {{"connections", connections_.size()}});
}

void inbound_server::connection_closed(inbound_connection const& it)
{
    heads_.remove(&it);
    connections_.erase(&it);
    if (listener_ != nullptr)
        evconnlistener_enable(listener_);
}

void inbound_server::end_excess()
{
    while (auto const it = heads_.excess(timers_.now()))
    {
        auto const found = connections_.find(static_cast<inbound_connection const*>(*it));
        if (found == connections_.end())
            return;
        auto const connection = found->second;
        connection->close();
    }
}

} // namespace savorymount::runtime
