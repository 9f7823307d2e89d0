#include "limits_simulation.hpp"

#include <algorithm>

namespace savorymount::tests
{

namespace
{

constexpr base::duration poll_interval = std::chrono::milliseconds(500);
constexpr base::duration tick_interval = std::chrono::milliseconds(100);
constexpr base::duration response_timeout = std::chrono::seconds(1);
constexpr base::time_point epoch{std::chrono::seconds(1000)};
char const workspace[] = "counter";

} // namespace

struct limits_simulation::simulated_agent
{
    unsigned number = 0;
    std::uint64_t process = 0;
    std::string name;
    std::string incarnation;
    bool alive = true;
    bool leaving = false;
    double clock_rate = 1;
    base::time_point frozen_until{};
    base::time_point log_unreachable_until{};
    base::time_point list_unreachable_until{};
    base::time_point agents_unreachable_until{};
    base::time_point list_stale_until{};
    base::time_point list_read_at{};
    base::time_point last_poll{};
    std::uint64_t next_offset = 1;
    limits::lease_directory directory;
    std::optional<limits::bucket_lease> lease;
    std::optional<limits::workspace_bucket> bucket;
    bool granting = false;
    std::optional<limits::grant_pool> pool;
    /// Requests that wait for a grant.
    std::vector<simulated_request> waiting;

    std::string list_entry_id() const { return name + "#" + incarnation; }
};

limits_simulation::limits_simulation(simulation_plan plan)
    : plan_(std::move(plan)), random_(plan_.seed)
{
    time_.run_until(epoch);
    listed_agents_[base::time_point{}] = {};
    for (unsigned n = 0; n < plan_.agents; ++n)
    {
        agents_.push_back(nullptr);
        start_agent(n);
    }
}

limits_simulation::~limits_simulation() = default;

void limits_simulation::run()
{
    schedule_events(time_origin::start);
    time_.run_until(epoch + plan_.length);
}

void limits_simulation::schedule_events(time_origin origin)
{
    for (auto const& it : plan_.faults)
    {
        if (it.origin == origin)
            time_.after(it.at, [this, it] { inject_fault(it); });
    }
    for (auto const& it : plan_.demands)
    {
        if (it.origin == origin)
            time_.after(it.at, [this, it] { start_demand(it); });
    }
}

unsigned limits_simulation::resolve_agent(unsigned agent) const
{
    if (agent < newest_holder)
        return agent % plan_.agents;
    std::vector<unsigned> holders = {plan_.agents, plan_.agents};
    for (auto const& entry : log_)
    {
        for (auto const& it : agents_)
        {
            if (it->name == entry.record.agent && it->number != holders.back())
                holders.push_back(it->number);
        }
    }
    auto const newest = holders.back();
    auto const previous = holders[holders.size() - 2];
    if (agent == newest_holder && newest < plan_.agents)
        return newest;
    if (agent == previous_holder && previous < plan_.agents)
        return previous;
    for (auto const& it : agents_)
    {
        if (it->number != newest && it->number != previous)
            return it->number;
    }
    return 0;
}

std::vector<admitted_request> limits_simulation::admitted_requests() const
{
    std::vector<admitted_request> out;
    for (auto const& it : admissions_)
        out.push_back(it.request);
    return out;
}

void limits_simulation::start_agent(unsigned number)
{
    auto it = std::make_unique<simulated_agent>();
    it->number = number;
    it->process = ++processes_started_;
    it->name = "agent-" + std::to_string(number);
    it->incarnation = std::to_string(it->process);
    auto const max_drift = static_cast<double>(plan_.clock_drift_permille) / 1000;
    it->clock_rate = 1 + max_drift * (2 * random_.uniform_real() - 1);
    it->lease.emplace(workspace, it->name, it->incarnation);
    limits::grant_sizing sizing;
    // With large grants, agents hold the most tokens when the owner changes.
    sizing.max_burst_fraction = 1;
    it->pool.emplace(plan_.rate, plan_.burst, limits::limit_timing{}, sizing);
    auto listed = listed_agents_.rbegin()->second;
    listed.insert(it->list_entry_id());
    listed_agents_[time_.now()] = listed;
    auto const process = it->process;
    agents_[number] = std::move(it);
    time_.after(base::duration(static_cast<std::int64_t>(random_.uniform_below(100'000))),
                [this, number, process] { tick(number, process); });
}

void limits_simulation::remove_from_list(std::string const& id)
{
    auto listed = listed_agents_.rbegin()->second;
    listed.erase(id);
    listed_agents_[time_.now()] = listed;
}

void limits_simulation::end_process(unsigned number, fault const& it)
{
    auto& target = *agents_[number];
    if (!target.alive || target.leaving)
        return;
    auto const releases_lease = it.kind == fault_kind::leave;
    if (releases_lease)
    {
        target.leaving = true;
        perform_lease_actions(target, target.lease->leave(local_time(target)));
    }
    target.alive = releases_lease;
    // A process that shuts down stays listed for 10 s, so that it can release its lease.
    time_.after(releases_lease ? std::chrono::seconds(10) : it.length / 10,
                [this, id = target.list_entry_id()] { remove_from_list(id); });
    time_.after(std::max<base::duration>(it.length, std::chrono::seconds(11)),
                [this, number, process = target.process]
                {
                    if (agents_[number]->process == process)
                        start_agent(number);
                });
}

void limits_simulation::inject_fault(fault const& it)
{
    auto const number = resolve_agent(it.agent);
    auto& target = *agents_[number];
    auto const until = time_.now() + it.length;
    auto const extend = [until](base::time_point& end)
    {
        end = std::max(end, until);
    };
    switch (it.kind)
    {
    case fault_kind::kill:
    case fault_kind::leave:
        return end_process(number, it);
    case fault_kind::freeze:
        return extend(target.frozen_until);
    case fault_kind::log_unreachable:
        return extend(target.log_unreachable_until);
    case fault_kind::list_unreachable:
        return extend(target.list_unreachable_until);
    case fault_kind::agents_unreachable:
        return extend(target.agents_unreachable_until);
    case fault_kind::list_stale:
        return extend(target.list_stale_until);
    case fault_kind::log_down:
        return extend(log_down_until_);
    case fault_kind::list_down:
        return extend(list_down_until_);
    case fault_kind::lose_append_responses:
        return extend(append_responses_lost_until_);
    case fault_kind::unlisted:
        remove_from_list(target.list_entry_id());
        time_.after(it.length,
                    [this, number, process = target.process]
                    {
                        auto const& current = *agents_[number];
                        if (current.process != process || !current.alive)
                            return;
                        auto listed = listed_agents_.rbegin()->second;
                        listed.insert(current.list_entry_id());
                        listed_agents_[time_.now()] = listed;
                    });
        return;
    }
}

void limits_simulation::start_demand(demand const& it)
{
    auto const end = time_.now() + it.length;
    if (it.agent != every_agent)
        return generate_requests(it, resolve_agent(it.agent), end);
    for (unsigned n = 0; n < plan_.agents; ++n)
        generate_requests(it, n, end);
}

void limits_simulation::tick(unsigned number, std::uint64_t process)
{
    auto& it = *agents_[number];
    if (it.process != process || !it.alive)
        return;
    if (it.frozen_until > time_.now())
    {
        time_.at(it.frozen_until, [this, number, process] { tick(number, process); });
        return;
    }
    auto const now = local_time(it);
    perform_lease_actions(it, it.lease->tick(now));
    if (it.leaving && it.bucket && it.bucket->all_grants_expired(now))
        perform_lease_actions(it, it.lease->on_grants_expired(now));
    if (now - it.last_poll >= poll_interval)
    {
        it.last_poll = now;
        poll_log(it);
        poll_list(it);
    }
    perform_grant_actions(it);
    update_max_owners();
    time_.after(tick_interval, [this, number, process] { tick(number, process); });
}

void limits_simulation::poll_log(simulated_agent& it)
{
    if (it.log_unreachable_until > time_.now())
        return;
    auto const sent = local_time(it);
    time_.after(
        random_delay(),
        [this, sent, number = it.number, process = it.process, from = it.next_offset]
        {
            if (!log_available())
                return;
            std::vector<log_entry> const records(
                log_.begin() + static_cast<std::ptrdiff_t>(from - 1), log_.end());
            deliver(number, process, random_delay(),
                    [this, sent, from, records](simulated_agent& agent)
                    {
                        if (agent.log_unreachable_until > time_.now())
                            return;
                        agent.directory.begin_read(from, 1);
                        auto offset = from;
                        for (auto const& entry : records)
                            agent.directory.apply(offset++, entry.record);
                        agent.next_offset = std::max(agent.next_offset, offset);
                        auto const now = local_time(agent);
                        perform_lease_actions(agent,
                                              agent.lease->on_log_read(now, sent, agent.directory));
                        auto const* const newest = agent.directory.newest_lease(workspace);
                        agent.pool->on_owner_changed(now, agent.directory.fencing_token(workspace),
                                                     newest != nullptr && !newest->agent.empty());
                    });
        });
}

void limits_simulation::poll_list(simulated_agent& it)
{
    if (it.list_unreachable_until > time_.now())
        return;
    auto const sent = local_time(it);
    time_.after(
        random_delay(),
        [this, sent, number = it.number, process = it.process]
        {
            if (!list_available())
                return;
            auto& reader = *agents_[number];
            if (reader.process != process)
                return;
            // A reader never gets an older list than in its previous read.
            auto const lag = base::duration(static_cast<std::int64_t>(
                random_.uniform_below(static_cast<std::uint64_t>(plan_.list_lag.count()) + 1)));
            if (reader.list_stale_until <= time_.now())
                reader.list_read_at = std::max(reader.list_read_at, time_.now() - lag);
            auto const list = list_at(reader.list_read_at);
            deliver(number, process, random_delay(),
                    [this, sent, list](simulated_agent& agent)
                    {
                        if (agent.list_unreachable_until <= time_.now())
                            perform_lease_actions(
                                agent, agent.lease->on_list_read(local_time(agent), sent, list));
                    });
        });
}

void limits_simulation::append(simulated_agent& it, limits::append_lease const& action)
{
    auto const number = it.number;
    auto const process = it.process;
    auto const finish = [this, number, process, id = action.id](base::duration delay, bool appended)
    {
        deliver(number, process, delay,
                [this, id, appended](simulated_agent& agent)
                {
                    perform_lease_actions(
                        agent, agent.lease->on_append_finished(local_time(agent), id, appended));
                });
    };
    if (it.log_unreachable_until > time_.now())
        return finish(response_timeout, false);
    time_.after(random_delay(),
                [this, action, finish]
                {
                    if (!log_available())
                        return finish(response_timeout, false);
                    log_.push_back({action.id, action.record});
                    if (!takeover_seen_ && action.record.previous != 0 &&
                        action.record.fencing_token == 0)
                    {
                        takeover_seen_ = true;
                        schedule_events(time_origin::takeover);
                    }
                    if (append_responses_lost_until_ > time_.now())
                        return finish(response_timeout, false);
                    finish(random_delay(), true);
                });
}

void limits_simulation::perform_lease_actions(simulated_agent& it,
                                              std::vector<limits::lease_action> const& actions)
{
    for (auto const& action : actions)
    {
        if (auto const* const append_action = std::get_if<limits::append_lease>(&action))
            append(it, *append_action);
        else if (auto const* const start = std::get_if<limits::start_granting>(&action))
        {
            using level = limits::workspace_bucket::start_level;
            it.bucket.emplace(local_time(it), start->fencing_token, plan_.rate, plan_.burst,
                              start->full ? level::full : level::empty);
            it.granting = true;
            ++bucket_starts_;
        }
        else if (auto const* const stop = std::get_if<limits::stop_granting>(&action))
        {
            it.granting = false;
            if (!stop->resumable && !it.leaving)
                it.bucket.reset();
        }
        else
            it.granting = true;
    }
}

void limits_simulation::perform_grant_actions(simulated_agent& it)
{
    for (auto const& action : it.pool->take_actions(local_time(it)))
    {
        if (auto const* const request = std::get_if<limits::request_grant>(&action))
            request_grant_from_owner(it, *request);
        else
            report_usage_to_owner(it, std::get<limits::report_usage>(action));
    }
}

std::vector<limits_simulation::simulated_agent const*>
limits_simulation::reachable_holders(simulated_agent const& it) const
{
    std::vector<simulated_agent const*> out;
    auto const* const holder = it.directory.newest_lease(workspace);
    if (holder == nullptr)
        return out;
    for (auto const& candidate : agents_)
    {
        if (candidate->list_entry_id() == holder->list_entry_id() && connected(it, *candidate))
            out.push_back(candidate.get());
    }
    return out;
}

void limits_simulation::request_grant_from_owner(simulated_agent& it,
                                                 limits::request_grant const& action)
{
    for (auto const* const candidate : reachable_holders(it))
    {
        deliver(candidate->number, candidate->process, random_delay(),
                [this, action, number = it.number, process = it.process](simulated_agent& owner)
                {
                    auto const now = local_time(owner);
                    auto const owns_bucket = owner.granting && owner.bucket &&
                                             owner.bucket->fencing_token() == action.fencing_token;
                    base::duration retry_after{};
                    std::optional<limits::token_grant> grant;
                    auto const allowed = owns_bucket && owner.lease->may_grant(now);
                    if (allowed)
                        grant =
                            owner.bucket->grant(now, action.tokens, action.min_tokens, retry_after);
                    if (!connected(*agents_[number], owner))
                        return;
                    deliver(number, process, random_delay(),
                            [this, action, grant, retry_after, allowed](simulated_agent& agent)
                            {
                                auto const received_at = local_time(agent);
                                if (grant)
                                    agent.pool->on_grant_received(received_at, action.request_id,
                                                                  *grant);
                                else if (allowed)
                                    agent.pool->on_grant_refused(received_at, action.request_id,
                                                                 retry_after);
                                else
                                    agent.pool->on_grant_failed(received_at, action.request_id);
                                auto const waiting = std::move(agent.waiting);
                                agent.waiting.clear();
                                for (auto request : waiting)
                                {
                                    ++request.attempt;
                                    submit(agent.number, agent.process, request);
                                }
                                perform_grant_actions(agent);
                            });
                });
    }
}

void limits_simulation::report_usage_to_owner(simulated_agent& it,
                                              limits::report_usage const& action)
{
    for (auto const* const candidate : reachable_holders(it))
    {
        auto const apply_report = [this, action](simulated_agent& owner)
        {
            if (owner.bucket && owner.bucket->fencing_token() == action.fencing_token)
                owner.bucket->apply_usage_report(local_time(owner), action.grant_id, action.used,
                                                 action.unused);
        };
        deliver(candidate->number, candidate->process, random_delay(), apply_report);
        // The transport may deliver a report twice.
        if (random_.uniform_below(8) == 0)
            deliver(candidate->number, candidate->process, random_delay() * 20, apply_report);
    }
}

void limits_simulation::submit(unsigned number, std::uint64_t process, simulated_request request)
{
    auto& it = *agents_[number];
    if (it.process != process || !it.alive || it.leaving)
        return;
    auto const result = it.pool->admit(local_time(it), request.tokens, request.attempt == 0);
    if (result.result == limits::admission::decision::waiting && request.attempt < 4)
    {
        it.waiting.push_back(request);
        return;
    }
    if (result.result != limits::admission::decision::admitted)
    {
        ++refused_;
        return;
    }
    auto const index = admissions_.size();
    admissions_.push_back({{time_.now(), request.tokens}, request.tokens});
    deliver(number, process, request.run_time / 2,
            [this, request, reservation = result.reservation](simulated_agent& agent)
            {
                agent.pool->record_progress(local_time(agent), reservation, request.used / 2);
                perform_grant_actions(agent);
            });
    deliver(number, process, request.run_time,
            [this, index, request, reservation = result.reservation](simulated_agent& agent)
            {
                admissions_[index].request.tokens = request.used;
                agent.pool->complete(local_time(agent), reservation, request.used);
                perform_grant_actions(agent);
            });
}

void limits_simulation::generate_requests(demand const& it, unsigned number, base::time_point end)
{
    if (time_.now() >= end || it.requests_per_second == 0)
        return;
    auto& agent = *agents_[number];
    if (agent.alive && agent.frozen_until <= time_.now())
    {
        simulated_request request;
        request.tokens = std::min(1 + random_.uniform_below(2 * it.tokens), plan_.burst);
        request.used = it.used_percent ? request.tokens * *it.used_percent / 100
                                       : 1 + random_.uniform_below(request.tokens);
        request.run_time = base::duration(static_cast<std::int64_t>(
            random_.uniform_below(static_cast<std::uint64_t>(it.max_run_time.count()) + 1)));
        submit(number, agent.process, request);
        perform_grant_actions(agent);
    }
    std::uint64_t const mean_interval = 1'000'000 / it.requests_per_second;
    time_.after(base::duration(static_cast<std::int64_t>(
                    1 + random_.uniform_below(std::uint64_t{2} * mean_interval))),
                [this, it, number, end] { generate_requests(it, number, end); });
}

void limits_simulation::deliver(unsigned number, std::uint64_t process, base::duration delay,
                                std::function<void(simulated_agent&)> callback)
{
    time_.after(delay,
                [this, number, process, callback = std::move(callback)]() mutable
                {
                    auto& it = *agents_[number];
                    if (it.process != process || !it.alive)
                        return;
                    if (it.frozen_until > time_.now())
                        return deliver(number, process, it.frozen_until - time_.now(),
                                       std::move(callback));
                    callback(it);
                });
}

base::time_point limits_simulation::local_time(simulated_agent const& it) const
{
    auto const elapsed = static_cast<double>((time_.now() - epoch).count());
    // Clocks of different instances have different offsets and run at almost the same rate.
    auto const offset = std::chrono::hours(it.number);
    return epoch + offset + base::duration(static_cast<std::int64_t>(elapsed * it.clock_rate));
}

base::duration limits_simulation::random_delay()
{
    auto const slow = random_.uniform_below(20) == 0;
    return base::duration(
        static_cast<std::int64_t>(1 + random_.uniform_below(slow ? 400'000 : 5'000)));
}

bool limits_simulation::log_available() const
{
    return log_down_until_ <= time_.now();
}

bool limits_simulation::list_available() const
{
    return list_down_until_ <= time_.now();
}

bool limits_simulation::connected(simulated_agent const& left, simulated_agent const& right) const
{
    if (left.number == right.number)
        return true;
    return std::max(left.agents_unreachable_until, right.agents_unreachable_until) <= time_.now();
}

limits::agent_list limits_simulation::list_at(base::time_point at) const
{
    auto const& listed =
        std::prev(listed_agents_.upper_bound(std::max(at, base::time_point{})))->second;
    std::vector<limits::agent_list::entry> entries;
    entries.reserve(listed.size());
    for (auto const& id : listed)
        entries.push_back({id, false});
    return limits::agent_list(std::move(entries));
}

void limits_simulation::update_max_owners()
{
    unsigned owners = 0;
    for (auto const& it : agents_)
    {
        if (it->alive && it->granting)
            ++owners;
    }
    max_concurrent_owners_ = std::max(max_concurrent_owners_, owners);
}

} // namespace savorymount::tests
