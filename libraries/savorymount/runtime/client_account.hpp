#pragma once

#include <savorymount/base/time.hpp>

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace savorymount::runtime
{

/// What the connections of clients hold, and which of them ends first when that is too much.
class client_account
{
public:
    /// Identifies a connection.
    using client = void const*;

    /// `max_bytes` bounds what all connections hold together.
    explicit client_account(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /// Records what a connection holds now. Call it whenever bytes have arrived.
    void update(base::time_point now, client it, std::size_t bytes);
    void remove(client it);

    /// The connection to end next; empty while all together hold no more than allowed.
    std::optional<client> excess(base::time_point now) const;
    std::size_t held_bytes() const { return held_bytes_; }

private:
    struct holding
    {
        std::size_t bytes = 0;
        base::time_point updated_at;
    };

    std::size_t max_bytes_;
    std::size_t held_bytes_ = 0;
    std::unordered_map<client, holding> holdings_;
};

} // namespace savorymount::runtime
