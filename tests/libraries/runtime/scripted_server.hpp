#pragma once

#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/settings_parser.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <cstdint>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <string>
#include <utility>
#include <vector>

namespace savorymount::tests
{

/// A TCP server on loopback that answers the n-th request with the n-th text, whatever the request
/// says, and then does what the script tells.
class scripted_server
{
public:
    enum class afterwards
    {
        keep,
        close,
        reset
    };

    /// Each answer is written in pieces of at most `piece_bytes`.
    scripted_server(runtime::event_loop& loop, std::vector<std::string> answers, afterwards then,
                    std::size_t piece_bytes = std::string::npos)
        : answers_(std::move(answers)), then_(then), piece_bytes_(piece_bytes)
    {
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener_ = evconnlistener_new_bind(loop.base(), accept, this, LEV_OPT_CLOSE_ON_FREE, 8,
                                            reinterpret_cast<sockaddr*>(&name), sizeof(name));
        socklen_t size = sizeof(name);
        getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&name), &size);
        address_ = {"127.0.0.1", ntohs(name.sin_port)};
    }

    ~scripted_server()
    {
        evconnlistener_free(listener_);
        for (auto* it : connections_)
            bufferevent_free(it);
    }

    scripted_server(scripted_server const&) = delete;
    scripted_server& operator=(scripted_server const&) = delete;

    /// Does what the script tells only from the second answer on.
    void keep_first_connection_open() { kept_answers_ = 1; }

    runtime::network_address const& address() const { return address_; }
    std::size_t connections() const { return connections_.size(); }
    /// Requests that were answered.
    std::size_t requests() const { return next_; }

private:
    static void accept(evconnlistener* listener, evutil_socket_t socket, sockaddr*, int, void* self)
    {
        auto& server = *static_cast<scripted_server*>(self);
        auto* const buffer = bufferevent_socket_new(evconnlistener_get_base(listener), socket,
                                                    BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(buffer, read, written, nullptr, self);
        bufferevent_enable(buffer, EV_READ | EV_WRITE);
        server.connections_.push_back(buffer);
    }

    static void read(bufferevent* buffer, void* self)
    {
        auto& server = *static_cast<scripted_server*>(self);
        auto* const input = bufferevent_get_input(buffer);
        auto const end = evbuffer_search(input, "\r\n\r\n", 4, nullptr);
        if (end.pos < 0 || server.next_ >= server.answers_.size())
            return;
        evbuffer_drain(input, evbuffer_get_length(input));
        server.unsent_[buffer] = server.answers_[server.next_++];
        server.write_piece(buffer);
    }

    void write_piece(bufferevent* buffer)
    {
        auto& unsent = unsent_[buffer];
        auto const piece = unsent.substr(0, piece_bytes_);
        unsent.erase(0, piece.size());
        bufferevent_write(buffer, piece.data(), piece.size());
    }

    static void written(bufferevent* buffer, void* self)
    {
        auto& server = *static_cast<scripted_server*>(self);
        // A new connection reports once that nothing is left to write.
        auto const unsent = server.unsent_.find(buffer);
        if (unsent == server.unsent_.end())
            return;
        if (!unsent->second.empty())
        {
            server.write_piece(buffer);
            return;
        }
        server.unsent_.erase(unsent);
        if (server.then_ == afterwards::keep || server.next_ <= server.kept_answers_)
            return;
        auto const socket = bufferevent_getfd(buffer);
        if (server.then_ == afterwards::reset)
        {
            linger const at_once{1, 0};
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
        }
        std::erase(server.connections_, buffer);
        bufferevent_free(buffer);
    }

    std::vector<std::string> answers_;
    afterwards then_;
    std::size_t piece_bytes_;
    /// What is left to write of the answer to a connection's current request.
    std::map<bufferevent*, std::string> unsent_;
    evconnlistener* listener_ = nullptr;
    runtime::network_address address_;
    std::vector<bufferevent*> connections_;
    std::size_t next_ = 0;
    /// The first answers after which the connection stays open.
    std::size_t kept_answers_ = 0;
};

} // namespace savorymount::tests
