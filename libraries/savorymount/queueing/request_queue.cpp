#include <savorymount/queueing/request_queue.hpp>

#include <algorithm>
#include <cmath>

namespace savorymount::queueing
{
namespace
{

/// Time in which requests wait over which a request that began loses its weight.
constexpr double measured_seconds = 1;
/// The rate is unknown before requests have waited for this long.
constexpr double min_measured_seconds = 0.1;

} // namespace

void request_queue::measure(base::time_point now, double begun)
{
    if (!waiting_.empty() && now > measured_at_)
    {
        auto const elapsed = std::chrono::duration<double>(now - measured_at_).count();
        auto const kept = std::exp(-elapsed / measured_seconds);
        begun_ *= kept;
        contended_seconds_ = contended_seconds_ * kept + elapsed;
    }
    measured_at_ = now;
    begun_ += begun;
}

void request_queue::add(base::time_point now, waiting_request request)
{
    measure(now, 0);
    auto& level = levels_[request.urgency];
    auto& flow = level.flows[request.workspace];
    if (flow.requests.empty())
    {
        // An idle workspace gathers no claim.
        flow.start = std::max(flow.start, level.virtual_time);
        level.schedule.insert({flow.start, request.workspace});
    }
    flow.weight = request.weight;
    flow.requests.insert({request.deadline, request.id});
    ++level.size;
    by_end_.insert({request.leaves_at, request.id});
    waiting_.insert_or_assign(request.id, std::move(request));
}

bool request_queue::remove(base::time_point now, std::uint64_t id)
{
    if (!waiting_.contains(id))
        return false;
    measure(now, 0);
    take_out(id, false);
    return true;
}

waiting_request const* request_queue::front() const
{
    if (levels_.empty())
        return nullptr;
    auto const& level = levels_.begin()->second;
    auto const& flow = level.flows.at(level.schedule.begin()->second);
    return &waiting_.at(flow.requests.begin()->second);
}

std::optional<waiting_request> request_queue::begin(base::time_point now, std::uint64_t id)
{
    if (!waiting_.contains(id))
        return std::nullopt;
    measure(now, 1);
    return take_out(id, true);
}

waiting_request request_queue::take_out(std::uint64_t id, bool charge)
{
    auto const it = waiting_.find(id);
    auto out = std::move(it->second);
    waiting_.erase(it);
    by_end_.erase({out.leaves_at, id});
    auto& level = levels_.at(out.urgency);
    auto& flow = level.flows.at(out.workspace);
    flow.requests.erase({out.deadline, id});
    level.schedule.erase({flow.start, out.workspace});
    if (charge)
    {
        level.virtual_time = std::max(level.virtual_time, flow.start);
        flow.start += std::max(out.tokens, 1.0) / out.weight;
    }
    if (!flow.requests.empty())
        level.schedule.insert({flow.start, out.workspace});
    if (--level.size == 0)
        levels_.erase(out.urgency);
    return out;
}

std::vector<waiting_request> request_queue::take_expired(base::time_point now)
{
    std::vector<waiting_request> out;
    measure(now, 0);
    while (!by_end_.empty() && by_end_.begin()->first <= now)
        out.push_back(take_out(by_end_.begin()->second, false));
    return out;
}

std::size_t request_queue::count_until(std::int32_t urgency) const
{
    std::size_t out = 0;
    for (auto const& [level_urgency, level] : levels_)
    {
        if (level_urgency > urgency)
            break;
        out += level.size;
    }
    return out;
}

std::size_t request_queue::position_of(std::int32_t urgency, std::string const& workspace,
                                       double weight) const
{
    auto const found = levels_.find(urgency);
    if (found == levels_.end())
        return count_until(urgency) + 1;
    auto const& flows = found->second.flows;
    auto const own = flows.find(workspace);
    auto const own_count = own == flows.end() ? 0 : own->second.requests.size();
    // Before its own last request, each other workspace begins its weighted part at most.
    auto const rounds = static_cast<double>(own_count + 1) / weight;
    auto ahead = static_cast<double>(count_until(urgency) - found->second.size + own_count);
    for (auto const& [name, it] : flows)
    {
        if (name != workspace)
            ahead += std::min(static_cast<double>(it.requests.size()), rounds * it.weight);
    }
    return static_cast<std::size_t>(ahead) + 1;
}

std::optional<base::duration> request_queue::begin_interval(base::time_point now) const
{
    auto const since = std::chrono::duration<double>(now - measured_at_).count();
    auto const elapsed = waiting_.empty() ? 0 : std::max(0.0, since);
    auto const kept = std::exp(-elapsed / measured_seconds);
    auto const seconds = contended_seconds_ * kept + elapsed;
    if (seconds < min_measured_seconds)
        return std::nullopt;
    // One more than has begun, so that the interval is finite while nothing begins.
    return base::duration(static_cast<std::int64_t>(seconds / (begun_ * kept + 1) * 1e6));
}

} // namespace savorymount::queueing
