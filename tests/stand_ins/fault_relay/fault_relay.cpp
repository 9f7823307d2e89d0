#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <tests/stand_ins/fault_relay/fault_relay.hpp>
#include <utility>

namespace savorymount::stand_ins
{

fault_relay::fault_relay(runtime::event_loop& loop, runtime::network_address target)
    : loop_(loop), target_(std::move(target))
{
}

fault_relay::~fault_relay()
{
    if (listener_ != nullptr)
        evconnlistener_free(listener_);
}

std::optional<std::uint16_t> fault_relay::listen(runtime::network_address const& address,
                                                 base::error& reason)
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &name.sin_addr);
    listener_ =
        evconnlistener_new_bind(loop_.base(), on_accept, this,
                                LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
                                -1, reinterpret_cast<sockaddr const*>(&name), sizeof(name));
    if (listener_ == nullptr)
    {
        reason = {base::error_kind::unavailable,
                  "can't listen on " + to_string(address) + ": " + std::strerror(errno)};
        return std::nullopt;
    }
    socklen_t size = sizeof(name);
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&name), &size);
    port_ = ntohs(name.sin_port);
    return port_;
}

void fault_relay::handle(exchange_ptr const& exchange)
{
    std::string const route = exchange->method() + " " + parse_target(exchange->target()).path;
    if (route == "POST /control")
        control(exchange);
    else if (route == "GET /status")
        respond(exchange, 200, status());
    else
        respond_error(exchange, 404, "no such resource");
}

void fault_relay::on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self)
{
    static_cast<fault_relay*>(self)->accept(socket);
}

void fault_relay::accept(evutil_socket_t socket)
{
    if (mode_ == "cut")
    {
        linger const at_once{1, 0};
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
        evutil_closesocket(socket);
        return;
    }
    auto link = std::make_unique<relay_link>(loop_, socket, target_,
                                             relay_link::options{[this] { return delay_; },
                                                                 [this](relay_link const& it)
                                                                 {
                                                                     links_.erase(&it);
                                                                 }});
    if (mode_ == "blackhole")
        link->silence();
    link->mute_answers(mode_ == "mute_answers");
    links_[link.get()] = std::move(link);
}

void fault_relay::control(exchange_ptr const& exchange)
{
    auto const wanted = parse_object(exchange);
    if (!wanted)
        return;
    for (auto const& [key, value] : wanted->items())
    {
        bool known = false;
        if (key == "mode" && value.is_string())
            known = set_mode(value);
        if (key == "delay_ms" && value.is_number_unsigned())
        {
            delay_ = std::chrono::milliseconds(value.get<std::int64_t>());
            known = true;
        }
        if (!known)
        {
            respond_error(exchange, 400, "unknown control " + key);
            return;
        }
    }
    respond(exchange, 200, status());
}

bool fault_relay::set_mode(std::string const& mode)
{
    if (mode == "reset")
    {
        links_.clear();
        mode_ = "pass";
        return true;
    }
    if (mode != "pass" && mode != "cut" && mode != "blackhole" && mode != "blackhole_existing" &&
        mode != "mute_answers")
        return false;
    mode_ = mode;
    for (auto const& it : links_)
        it.second->mute_answers(mode == "mute_answers");
    if (mode == "cut")
        links_.clear();
    if (mode == "blackhole" || mode == "blackhole_existing")
    {
        for (auto const& it : links_)
            it.second->silence();
    }
    return true;
}

json fault_relay::status() const
{
    std::size_t silent = 0;
    for (auto const& it : links_)
        silent += it.second->silent() ? 1 : 0;
    return {{"relay_port", port_},
            {"mode", mode_},
            {"connections", links_.size()},
            {"silent_connections", silent}};
}

} // namespace savorymount::stand_ins
