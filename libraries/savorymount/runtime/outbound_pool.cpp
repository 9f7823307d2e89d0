#include <savorymount/runtime/outbound_pool.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::runtime
{
namespace
{

using namespace std::chrono_literals;

// Margin before the time at which the upstream closes an idle connection, which covers a request
// on its way.
constexpr base::duration idle_margin = 1s;
constexpr base::duration longest_idle_time = 4s;
constexpr std::size_t most_idle_per_upstream = 24;

} // namespace

std::unique_ptr<outbound_connection> outbound_pool::take(std::string const& upstream,
                                                         network_address const& address)
{
    auto& idle = idle_[upstream];
    while (!idle.empty())
    {
        auto connection = std::move(idle.back());
        idle.pop_back();
        connection->on_idle_end(nullptr);
        if (fresh(*connection))
            return connection;
    }
    auto options = options_;
    options.address = address;
    return std::make_unique<outbound_connection>(loop_, timers_, options);
}

void outbound_pool::give_back(std::string const& upstream,
                              std::unique_ptr<outbound_connection> connection)
{
    auto& idle = idle_[upstream];
    if (!connection->reusable() || idle.size() >= most_idle_per_upstream)
        return;
    connection->on_idle_end(
        [this, upstream, it = connection.get()]
        {
            auto& all = idle_[upstream];
            std::erase_if(all, [it](auto const& other) { return other.get() == it; });
        });
    idle.push_back(std::move(connection));
}

bool outbound_pool::fresh(outbound_connection const& connection) const
{
    if (!connection.reusable())
        return false;
    auto const announced = connection.announced_idle_time().value_or(longest_idle_time);
    auto const keep = std::min(announced - idle_margin, longest_idle_time);
    return timers_.now() - connection.idle_since() < keep;
}

} // namespace savorymount::runtime
