#include <savorymount/runtime/peer_pool.hpp>

#include <utility>

namespace savorymount::runtime
{

void peer_pool::ensure(std::string const& name, network_address const& address)
{
    auto const it = connections_.find(name);
    if (it != connections_.end() && it->second->address() == address)
        return;
    drop(name);
    auto options = make_(name);
    options.address = address;
    connections_[name] = std::make_unique<peer_connection>(loop_, timers_, std::move(options));
}

void peer_pool::drop(std::string const& name)
{
    auto const it = connections_.find(name);
    if (it == connections_.end())
        return;
    // The connection's own hook may be on the call stack, so it is destroyed from the loop.
    std::shared_ptr<peer_connection> const dropped(std::move(it->second));
    connections_.erase(it);
    dropped->close();
    loop_.defer([dropped] {});
}

void peer_pool::retain(std::function<bool(std::string const&)> const& keep)
{
    std::vector<std::string> unwanted;
    for (auto const& it : connections_)
    {
        if (!keep(it.first))
            unwanted.push_back(it.first);
    }
    for (auto const& it : unwanted)
        drop(it);
}

peer_connection* peer_pool::find(std::string const& name)
{
    auto const it = connections_.find(name);
    return it != connections_.end() && it->second->usable() ? it->second.get() : nullptr;
}

} // namespace savorymount::runtime
