#include <savorymount/queueing/fair_queue.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::queueing
{

namespace
{

constexpr double min_weight = 1e-6;
/// Length of one measurement of the service rate, and its weight in the moving average.
constexpr base::duration measurement_interval = std::chrono::milliseconds(500);
constexpr double measurement_weight = 0.3;
constexpr base::duration min_retry_after = std::chrono::milliseconds(100);
constexpr base::duration max_wait = std::chrono::hours(1);

base::duration time_to_serve(double tokens, double rate)
{
    auto const max_seconds = std::chrono::duration<double>(max_wait).count();
    return base::duration(static_cast<std::int64_t>(std::min(tokens / rate, max_seconds) * 1e6));
}

} // namespace

fair_queue::fair_queue(queue_bounds bounds) : bounds_(bounds) {}

bool fair_queue::enqueue(base::time_point now, queued_request request, base::duration& retry_after,
                         base::error& reason)
{
    retry_after = base::duration::zero();
    if (locations_.count(request.id) != 0)
    {
        reason = {base::error_kind::conflict, "request id is already queued; use a new id"};
        return false;
    }
    auto const weight = std::max(request.weight, min_weight);
    auto const found = flows_.find(request.workspace);
    if (!fits(request, found == flows_.end() ? nullptr : &found->second))
    {
        retry_after = std::max(min_retry_after, expected_wait(request.workspace, weight));
        reason = {base::error_kind::overloaded, "queue of the upstream is full; retry later"};
        return false;
    }
    auto const wait =
        request.deadline ? expected_wait(request.workspace, weight) : base::duration::zero();
    if (request.deadline && now + wait > *request.deadline)
    {
        retry_after = std::max(min_retry_after, wait);
        reason = {base::error_kind::deadline,
                  "deadline can't be met at the current load; retry later or allow more time"};
        return false;
    }
    auto& it = flows_[request.workspace];
    it.weight = weight;
    auto const sequence_number = ++last_sequence_number_;
    if (it.requests.empty())
    {
        it.virtual_start = std::max(it.virtual_start, virtual_time_);
        it.tie_breaker = sequence_number;
        schedule(request.workspace, it);
    }
    if (locations_.empty())
    {
        measured_since_ = now;
        measured_tokens_ = 0;
    }
    queue_position const position{-static_cast<std::int64_t>(request.priority), sequence_number};
    it.tokens += request.tokens;
    tokens_ += request.tokens;
    locations_.emplace(request.id, queued_location{request.workspace, position});
    it.requests.emplace(position, std::move(request));
    return true;
}

std::optional<queued_request> fair_queue::next(base::time_point now,
                                               std::vector<queued_request>& expired)
{
    while (!schedule_.empty())
    {
        auto const workspace = std::get<2>(*schedule_.begin());
        auto& it = flows_[workspace];
        auto const head = it.requests.begin();
        auto const past_deadline = head->second.deadline && *head->second.deadline < now;
        if (past_deadline)
        {
            expired.push_back(extract(workspace, it, head));
            erase_if_idle(workspace);
            continue;
        }
        virtual_time_ = std::max(virtual_time_, it.virtual_start);
        unschedule(workspace, it);
        it.virtual_start += static_cast<double>(head->second.tokens) / it.weight;
        it.tie_breaker = ++last_sequence_number_;
        schedule(workspace, it);
        ++it.running;
        ++running_;
        return extract(workspace, it, head);
    }
    return std::nullopt;
}

bool fair_queue::remove(std::string const& id)
{
    auto const found = locations_.find(id);
    if (found == locations_.end())
        return false;
    auto const location = found->second;
    auto& it = flows_[location.workspace];
    extract(location.workspace, it, it.requests.find(location.position));
    erase_if_idle(location.workspace);
    return true;
}

void fair_queue::on_completed(base::time_point now, queued_request const& request,
                              std::uint64_t used)
{
    measured_tokens_ += used;
    update_service_rate(now);
    auto const found = flows_.find(request.workspace);
    if (found == flows_.end())
        return;
    auto& it = found->second;
    it.running -= std::min<std::size_t>(it.running, 1);
    running_ -= std::min<std::size_t>(running_, 1);
    if (running_ == 0 && locations_.empty())
    {
        // Earlier usage affects the shares only while requests are queued or running.
        flows_.clear();
        virtual_time_ = 0;
        return;
    }
    auto const difference = static_cast<double>(used) - static_cast<double>(request.tokens);
    auto const queued = !it.requests.empty();
    if (queued)
        unschedule(request.workspace, it);
    it.virtual_start += difference / it.weight;
    if (queued)
        schedule(request.workspace, it);
    erase_if_idle(request.workspace);
}

base::duration fair_queue::expected_wait(std::string const& workspace, double weight) const
{
    if (service_rate_ <= 0)
        return base::duration::zero();
    auto const found = flows_.find(workspace);
    auto const workspace_tokens =
        found == flows_.end() ? 0.0 : static_cast<double>(found->second.tokens);
    auto tokens_ahead = workspace_tokens;
    // While the workspace's own backlog is served, each other workspace gets its share, up to its
    // own backlog.
    for (auto const& [name, it] : flows_)
    {
        if (name != workspace)
            tokens_ahead +=
                std::min(static_cast<double>(it.tokens), workspace_tokens * it.weight / weight);
    }
    return time_to_serve(tokens_ahead, service_rate_);
}

bool fair_queue::fits(queued_request const& request, flow const* existing) const
{
    if (locations_.size() >= bounds_.requests || tokens_ + request.tokens > bounds_.tokens)
        return false;
    if (existing == nullptr)
        return request.tokens <= bounds_.tokens_per_workspace;
    return existing->requests.size() < bounds_.requests_per_workspace &&
           existing->tokens + request.tokens <= bounds_.tokens_per_workspace;
}

queued_request fair_queue::extract(std::string const& workspace, flow& from,
                                   std::map<queue_position, queued_request>::iterator it)
{
    auto out = std::move(it->second);
    from.requests.erase(it);
    from.tokens -= out.tokens;
    tokens_ -= out.tokens;
    locations_.erase(out.id);
    if (from.requests.empty())
        unschedule(workspace, from);
    if (locations_.empty())
        measured_since_.reset();
    return out;
}

void fair_queue::schedule(std::string const& workspace, flow& it)
{
    schedule_.emplace(it.virtual_start, it.tie_breaker, workspace);
}

void fair_queue::unschedule(std::string const& workspace, flow const& it)
{
    schedule_.erase(schedule_entry{it.virtual_start, it.tie_breaker, workspace});
}

void fair_queue::erase_if_idle(std::string const& workspace)
{
    auto const found = flows_.find(workspace);
    auto const& it = found->second;
    // A flow ahead of the virtual time has used more than its share and must be kept.
    if (it.requests.empty() && it.running == 0 && it.virtual_start <= virtual_time_)
        flows_.erase(found);
}

void fair_queue::update_service_rate(base::time_point now)
{
    if (!measured_since_ || now - *measured_since_ < measurement_interval)
        return;
    auto const elapsed = std::chrono::duration<double>(now - *measured_since_).count();
    auto const rate = static_cast<double>(measured_tokens_) / elapsed;
    service_rate_ =
        service_rate_ == 0 ? rate : service_rate_ + measurement_weight * (rate - service_rate_);
    measured_since_ = now;
    measured_tokens_ = 0;
}

} // namespace savorymount::queueing
