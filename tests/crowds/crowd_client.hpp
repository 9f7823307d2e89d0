#pragma once

#include <savorymount/runtime/settings_parser.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace savorymount::tests
{

/// What each connection of a crowd sends. `{id}` in the first part becomes the number of the
/// connection.
struct crowd_message
{
    std::string first;
    /// Sent after `first`, `repeats` times.
    std::string repeated = {};
    std::size_t repeats = 0;
    /// Bytes that a connection sends before the next one has its turn; 0 sends all it can.
    std::size_t piece_bytes = 0;
    /// Turns after which the connections stop, wherever they are; 0 sends everything.
    std::size_t max_turns = 0;
    /// Whether the connections end their sending side when everything is sent.
    bool ends_sending = false;
};

/// Many connections of clients that never read. They stay open until they are destroyed.
class crowd_client
{
public:
    crowd_client(runtime::network_address const& address, std::size_t connections);
    ~crowd_client();
    crowd_client(crowd_client const&) = delete;
    crowd_client& operator=(crowd_client const&) = delete;

    /// Sends the message on all connections until it is sent or no connection accepts more.
    void send(crowd_message const& message);

    std::size_t sent_bytes() const { return sent_bytes_; }
    /// Connections that the server has not ended as far as writing shows.
    std::size_t open_connections() const;

private:
    struct member
    {
        int fd = -1;
        std::string first;
        std::size_t sent = 0;
        bool ended = false;
    };

    bool is_done(member const& it, crowd_message const& message) const;
    /// Sends what the socket accepts; returns the bytes.
    std::size_t advance(member& it, crowd_message const& message);
    /// Runs one turn over all connections that accept bytes; returns the bytes.
    std::size_t run_turn(crowd_message const& message);

    std::vector<member> members_;
    std::size_t sent_bytes_ = 0;
};

} // namespace savorymount::tests
