#include <savorymount/queueing/service_admission.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::queueing
{
namespace
{

/// A request waits for this part of its target latency at most: what begins later is late anyway,
/// and delays others that would still be in time.
constexpr int target_divisor = 2;
/// A caller with little time left keeps the rest of it for the engine.
constexpr int time_left_divisor = 4;
/// A request without a response after this part of its target shows that engines are too busy,
/// while those behind it can still be in time.
constexpr double late_ratio = 0.7;

base::duration max_wait(room_request const& it)
{
    return std::min(it.target_latency / target_divisor, it.time_left / time_left_divisor);
}

} // namespace

service_admission::service_admission(std::function<std::optional<service_room>()> room,
                                     base::random_source& random)
    : room_(std::move(room)), random_(random)
{
}

room_decision service_admission::ask(base::time_point now, room_request const& request)
{
    note_late(now);
    meter_.arrived(now, request.urgency);
    auto const ahead = queue_.count_until(request.urgency);
    if (ahead == 0 && may_begin_now(now, request.urgency, request.most_urgent))
    {
        begin(now, request.id, request.urgency, request.target_latency);
        return {request.id, room_verdict::begin, std::nullopt};
    }
    auto const longest_wait = max_wait(request);
    auto const interval = queue_.begin_interval(now);
    auto const position = queue_.position_of(request.urgency, request.workspace, request.weight);
    if (interval && *interval * static_cast<std::int64_t>(position) > longest_wait)
        return {request.id, room_verdict::refuse,
                book_return(now, request.urgency, request.time_left)};
    waiting_request waiting;
    waiting.id = request.id;
    waiting.urgency = request.urgency;
    waiting.workspace = request.workspace;
    waiting.weight = request.weight;
    waiting.tokens = request.tokens;
    waiting.deadline = now + request.time_left;
    waiting.leaves_at = now + longest_wait;
    queue_.add(now, std::move(waiting));
    waiting_.emplace(request.id, request);
    return {request.id, room_verdict::wait, std::nullopt};
}

std::vector<room_decision> service_admission::update(base::time_point now)
{
    std::vector<room_decision> out;
    note_late(now);
    while (auto const* const front = queue_.front())
    {
        auto const request = waiting_.at(front->id);
        if (!may_begin_now(now, request.urgency, request.most_urgent))
            break;
        queue_.begin(now, request.id);
        waiting_.erase(request.id);
        begin(now, request.id, request.urgency, request.target_latency);
        out.push_back({request.id, room_verdict::begin, std::nullopt});
    }
    for (auto const& it : queue_.take_expired(now))
    {
        waiting_.erase(it.id);
        out.push_back(
            {it.id, room_verdict::refuse, book_return(now, it.urgency, it.deadline - now)});
    }
    return out;
}

bool service_admission::may_begin_now(base::time_point now, std::int32_t urgency,
                                      bool most_urgent) const
{
    for (auto const& [more_urgent, limit] : limits_)
    {
        if (more_urgent < urgency && !limit.allows(now, running_after(more_urgent)))
            return false;
    }
    auto const room = room_();
    return !room || may_begin(*room, most_urgent, meter_.reserve_for(now, urgency));
}

void service_admission::begin(base::time_point now, std::uint64_t id, std::int32_t urgency,
                              base::duration target_latency)
{
    auto const late_at = now + base::duration(static_cast<std::int64_t>(
                                   static_cast<double>(target_latency.count()) * late_ratio));
    meter_.began(urgency);
    ++running_[urgency];
    pending_.insert({late_at, id});
    begun_[id] = {urgency, now, late_at};
}

void service_admission::note_late(base::time_point now)
{
    while (!pending_.empty() && pending_.begin()->first <= now)
    {
        auto const id = pending_.begin()->second;
        pending_.erase(pending_.begin());
        record_late(now, begun_.at(id));
    }
}

void service_admission::record_late(base::time_point now, begun_request const& request)
{
    auto const less_urgent = running_after(request.urgency);
    if (less_urgent > 0)
        limits_[request.urgency].record_late(now, request.began_at, less_urgent);
}

double service_admission::running_after(std::int32_t urgency) const
{
    double out = 0;
    for (auto it = running_.upper_bound(urgency); it != running_.end(); ++it)
        out += static_cast<double>(it->second);
    return out;
}

void service_admission::response_started(base::time_point now, std::uint64_t id)
{
    note_late(now);
    auto const it = begun_.find(id);
    if (it != begun_.end())
        pending_.erase({it->second.late_at, id});
}

void service_admission::leave(base::time_point now, std::uint64_t id)
{
    note_late(now);
    queue_.remove(now, id);
    waiting_.erase(id);
    auto const it = begun_.find(id);
    if (it == begun_.end())
        return;
    meter_.ended(it->second.urgency, now - it->second.began_at);
    --running_[it->second.urgency];
    pending_.erase({it->second.late_at, id});
    begun_.erase(it);
}

std::optional<base::duration>
service_admission::book_return(base::time_point now, std::int32_t urgency, base::duration time_left)
{
    auto const interval = queue_.begin_interval(now);
    refused_caller const caller{urgency, queue_.count_until(urgency),
                                interval.value_or(base::duration::zero()), time_left};
    return returns_.book(now, caller, random_.uniform_real());
}

std::optional<base::duration> service_admission::retry_after(base::time_point now, std::uint64_t id,
                                                             base::duration time_left)
{
    auto const it = begun_.find(id);
    if (it == begun_.end() || !queue_.begin_interval(now))
        return std::nullopt;
    return book_return(now, it->second.urgency, time_left);
}

bool service_admission::limited(base::time_point now) const
{
    return std::any_of(limits_.begin(), limits_.end(),
                       [now](auto const& it) { return it.second.value(now).has_value(); });
}

} // namespace savorymount::queueing
