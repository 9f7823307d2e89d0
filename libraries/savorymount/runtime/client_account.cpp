#include <savorymount/runtime/client_account.hpp>

namespace savorymount::runtime
{

void client_account::update(base::time_point now, client it, std::size_t bytes)
{
    if (bytes == 0)
    {
        remove(it);
        return;
    }
    auto& held = holdings_[it];
    held_bytes_ += bytes - held.bytes;
    held = {bytes, now};
}

void client_account::remove(client it)
{
    auto const found = holdings_.find(it);
    if (found == holdings_.end())
        return;
    held_bytes_ -= found->second.bytes;
    holdings_.erase(found);
}

std::optional<client_account::client> client_account::excess(base::time_point now) const
{
    if (held_bytes_ <= max_bytes_)
        return std::nullopt;
    std::optional<client> out;
    double highest_cost = -1;
    for (auto const& [it, held] : holdings_)
    {
        // A large head that has just arrived goes before one that is small and as recent.
        auto const age = std::chrono::duration<double>(now - held.updated_at).count() + 1e-3;
        auto const cost = static_cast<double>(held.bytes) * age;
        if (cost <= highest_cost)
            continue;
        highest_cost = cost;
        out = it;
    }
    return out;
}

} // namespace savorymount::runtime
