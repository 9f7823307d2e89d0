#include <savorymount/orders/leader_watch.hpp>

namespace savorymount::orders
{
namespace
{

using namespace std::chrono_literals;

// A load, the heartbeat with which the engine lists its new version, and a read of the list.
constexpr base::duration time_until_loads_are_listed = 3s;

} // namespace

void leader_watch::leads(base::time_point now, std::string const& instance)
{
    if (!leader_ || leader_->instance != instance)
        leader_ = term{instance, now};
}

void leader_watch::leads_no_more(std::string const& instance)
{
    if (leader_ && leader_->instance == instance)
        leader_.reset();
}

std::optional<std::string> leader_watch::settled_leader(base::time_point now) const
{
    if (!leader_ || now - leader_->since < time_until_loads_are_listed)
        return std::nullopt;
    return leader_->instance;
}

} // namespace savorymount::orders
