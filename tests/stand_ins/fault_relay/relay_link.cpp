#include <event2/buffer.h>

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <tests/stand_ins/fault_relay/relay_link.hpp>
#include <utility>

namespace savorymount::stand_ins
{
namespace
{

// Bytes in flight in one direction before the relay stops reading, so that back-pressure passes
// through it.
constexpr std::size_t in_flight_bytes = std::size_t{256} * 1024;

std::string take_all(bufferevent* buffer)
{
    evbuffer* const input = bufferevent_get_input(buffer);
    std::string out(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, out.data(), out.size());
    return out;
}

void close_socket(bufferevent* buffer, bool reset)
{
    if (reset)
    {
        linger const at_once{1, 0};
        setsockopt(bufferevent_getfd(buffer), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    }
    bufferevent_setcb(buffer, nullptr, nullptr, nullptr, nullptr);
    bufferevent_free(buffer);
}

} // namespace

relay_link::relay_link(runtime::event_loop& loop, evutil_socket_t client,
                       runtime::network_address const& target, options chosen)
    : loop_(loop), timers_(loop), options_(std::move(chosen))
{
    int const on = 1;
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    bufferevent* const near = bufferevent_socket_new(loop.base(), client, BEV_OPT_CLOSE_ON_FREE);
    bufferevent* const far = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    upwards_.from = downwards_.to = near;
    upwards_.to = downwards_.from = far;
    for (bufferevent* it : {near, far})
    {
        bufferevent_setcb(it, on_read, on_write, on_event, this);
        bufferevent_enable(it, EV_READ | EV_WRITE);
    }
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(target.port);
    inet_pton(AF_INET, target.host.c_str(), &name.sin_addr);
    bufferevent_socket_connect(far, reinterpret_cast<sockaddr*>(&name), sizeof(name));
}

relay_link::~relay_link()
{
    close_socket(upwards_.from, reset_on_close_);
    close_socket(upwards_.to, reset_on_close_);
}

void relay_link::silence()
{
    silent_ = true;
    for (direction* it : {&upwards_, &downwards_})
    {
        it->pieces.clear();
        it->queued_bytes = 0;
        it->timer = {};
        bufferevent_enable(it->from, EV_READ);
    }
}

void relay_link::on_read(bufferevent* buffer, void* self)
{
    auto* const link = static_cast<relay_link*>(self);
    std::string bytes = take_all(buffer);
    bool const lost = link->answers_muted_ && buffer == link->downwards_.from;
    link->answers_lost_ = link->answers_lost_ || lost;
    if (!link->silent_ && !lost)
        link->enqueue(link->from(buffer), std::move(bytes), false);
}

void relay_link::on_write(bufferevent* buffer, void* self)
{
    auto* const link = static_cast<relay_link*>(self);
    if (link->silent_)
        return;
    direction& way = link->to(buffer);
    if (way.closing)
        link->end();
    else
        link->throttle(way);
}

void relay_link::on_event(bufferevent* buffer, short what, void* self)
{
    auto* const link = static_cast<relay_link*>(self);
    if ((what & BEV_EVENT_CONNECTED) != 0)
    {
        int const on = 1;
        setsockopt(bufferevent_getfd(buffer), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        return;
    }
    direction& way = link->from(buffer);
    way.ended = true;
    if (link->silent_)
    {
        if (link->upwards_.ended && link->downwards_.ended)
            link->end();
        return;
    }
    // No network loses bytes and delivers the orderly close behind them.
    bool const is_incomplete = link->answers_lost_ && &way == &link->downwards_;
    if ((what & BEV_EVENT_EOF) != 0 && !is_incomplete)
    {
        link->enqueue(way, "", true);
        return;
    }
    // An error on one connection, such as a reset, reaches the other one as a reset.
    link->end();
}

relay_link::direction& relay_link::from(bufferevent* buffer)
{
    return upwards_.from == buffer ? upwards_ : downwards_;
}

relay_link::direction& relay_link::to(bufferevent* buffer)
{
    return upwards_.to == buffer ? upwards_ : downwards_;
}

void relay_link::enqueue(direction& way, std::string bytes, bool end)
{
    base::time_point due = loop_.now() + options_.delay();
    if (!way.pieces.empty())
        due = std::max(due, way.pieces.back().due);
    way.queued_bytes += bytes.size();
    way.pieces.push_back({due, std::move(bytes), end});
    if (way.pieces.size() == 1)
        deliver(way);
    throttle(way);
}

void relay_link::deliver(direction& way)
{
    while (!way.pieces.empty())
    {
        piece const& it = way.pieces.front();
        base::duration const wait = it.due - loop_.now();
        if (wait > base::duration::zero())
        {
            way.timer = timers_.after(wait, [this, &way] { deliver(way); });
            return;
        }
        if (it.end)
        {
            reset_on_close_ = false;
            way.closing = true;
            if (evbuffer_get_length(bufferevent_get_output(way.to)) == 0)
                end();
            return;
        }
        bufferevent_write(way.to, it.bytes.data(), it.bytes.size());
        way.queued_bytes -= it.bytes.size();
        way.pieces.pop_front();
    }
    throttle(way);
}

void relay_link::throttle(direction& way)
{
    if (way.ended)
        return;
    std::size_t const n = way.queued_bytes + evbuffer_get_length(bufferevent_get_output(way.to));
    if (n < in_flight_bytes)
        bufferevent_enable(way.from, EV_READ);
    else
        bufferevent_disable(way.from, EV_READ);
}

void relay_link::end()
{
    if (std::exchange(ended_, true))
        return;
    // The link may be destroyed before the hook runs.
    loop_.defer(
        [this, alive = std::weak_ptr<char>(alive_)]
        {
            if (!alive.expired())
                options_.ended(*this);
        });
}

} // namespace savorymount::stand_ins
