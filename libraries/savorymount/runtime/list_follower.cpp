#include <savorymount/runtime/list_follower.hpp>
#include <savorymount/runtime/log_events.hpp>

#include <utility>

namespace savorymount::runtime
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration poll_interval = 500ms;

} // namespace

list_follower::list_follower(timer_service& timers, instance_list list)
    : timers_(timers), list_(std::move(list))
{
}

void list_follower::start()
{
    read();
}

void list_follower::read()
{
    list_.read([this, sent = timers_.now()](std::optional<std::vector<instance_record>> const& list,
                                            base::error const& reason)
               { handle(sent, list, reason); });
}

void list_follower::handle(base::time_point sent,
                           std::optional<std::vector<instance_record>> const& list,
                           base::error const& reason)
{
    if (std::exchange(available_, list.has_value()) != list.has_value())
    {
        if (list)
            log(log_events::list_available);
        else
            log(log_events::list_unavailable, {{"reason", reason.message}});
    }
    timer_ = timers_.after(poll_interval, [this] { read(); });
    // An empty list while instances are known is taken as a fault of the list, not as the end of
    // every instance at once.
    if (!list || (list->empty() && !instances_.empty()))
        return;
    last_read_sent_ = sent;
    instances_ = *list;
    for (auto const& hook : hooks_)
        hook(instances_);
}

} // namespace savorymount::runtime
