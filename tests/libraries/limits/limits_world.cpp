#include "limits_world.hpp"

#include <algorithm>

namespace savorymount::tests
{

namespace
{

constexpr base::duration poll_interval = std::chrono::milliseconds(500);
constexpr base::duration tick_interval = std::chrono::milliseconds(100);
constexpr base::duration answer_timeout = std::chrono::seconds(1);
constexpr base::time_point epoch{std::chrono::seconds(1000)};
char const workspace[] = "counter";

} // namespace

struct limits_world::node
{
    unsigned number = 0;
    std::uint64_t life = 0;
    std::string name;
    std::string incarnation;
    bool alive = true;
    bool leaving = false;
    double clock_rate = 1;
    base::time_point frozen_until{};
    base::time_point no_log_until{};
    base::time_point no_list_until{};
    base::time_point no_agents_until{};
    base::time_point list_frozen_until{};
    base::time_point list_state_at{};
    base::time_point last_poll{};
    std::uint64_t next_offset = 1;
    limits::lease_directory directory;
    std::optional<limits::bucket_lease> lease;
    std::optional<limits::workspace_bucket> bucket;
    bool granting = false;
    std::optional<limits::grant_account> account;
    /// Requests that wait for a grant.
    std::vector<offered> waiting;

    std::string list_id() const { return name + "#" + incarnation; }
};

limits_world::limits_world(history_plan plan) : plan_(std::move(plan)), random_(plan_.seed)
{
    time_.run_until(epoch);
    list_[base::time_point{}] = {};
    for (unsigned n = 0; n < plan_.agents; ++n)
    {
        nodes_.push_back(nullptr);
        start_node(n);
    }
}

limits_world::~limits_world() = default;

void limits_world::run()
{
    schedule(anchor::start);
    time_.run_until(epoch + plan_.length);
}

void limits_world::schedule(anchor from)
{
    for (auto const& it : plan_.faults)
    {
        if (it.from == from)
            time_.after(it.at, [this, it] { begin(it); });
    }
    for (auto const& it : plan_.demands)
    {
        if (it.from == from)
            time_.after(it.at, [this, it] { begin(it); });
    }
}

unsigned limits_world::resolve(unsigned agent) const
{
    if (agent < newest_holder)
        return agent % plan_.agents;
    std::vector<unsigned> holders = {plan_.agents, plan_.agents};
    for (auto const& entry : log_)
    {
        for (auto const& it : nodes_)
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
    for (auto const& it : nodes_)
    {
        if (it->number != newest && it->number != previous)
            return it->number;
    }
    return 0;
}

std::vector<admitted_request> limits_world::history() const
{
    std::vector<admitted_request> out;
    for (auto const& it : admissions_)
        out.push_back(it.request);
    return out;
}

void limits_world::start_node(unsigned number)
{
    auto it = std::make_unique<node>();
    it->number = number;
    it->life = ++lives_;
    it->name = "agent-" + std::to_string(number);
    it->incarnation = std::to_string(it->life);
    auto const spread = static_cast<double>(plan_.drift_permille) / 1000;
    it->clock_rate = 1 + spread * (2 * random_.uniform_real() - 1);
    it->lease.emplace(workspace, it->name, it->incarnation);
    limits::grant_sizing sizing;
    // Large grants leave the most tokens in agents' hands when an owner changes.
    sizing.burst_fraction = 1;
    it->account.emplace(plan_.rate, plan_.burst, limits::limit_timing{}, sizing);
    auto listed = list_.rbegin()->second;
    listed.insert(it->list_id());
    list_[time_.now()] = listed;
    auto const life = it->life;
    nodes_[number] = std::move(it);
    time_.after(base::duration(static_cast<std::int64_t>(random_.uniform_below(100'000))),
                [this, number, life] { tick(number, life); });
}

void limits_world::unlist(std::string const& id)
{
    auto listed = list_.rbegin()->second;
    listed.erase(id);
    list_[time_.now()] = listed;
}

void limits_world::begin_end(unsigned number, fault const& it)
{
    auto& target = *nodes_[number];
    if (!target.alive || target.leaving)
        return;
    auto const clean = it.kind == fault_kind::leave;
    if (clean)
    {
        target.leaving = true;
        perform(target, target.lease->leave(local(target)));
    }
    target.alive = clean;
    // A leaving process gets time for its release before it ends.
    time_.after(clean ? std::chrono::seconds(10) : it.length / 10,
                [this, id = target.list_id()] { unlist(id); });
    time_.after(std::max<base::duration>(it.length, std::chrono::seconds(11)),
                [this, number, life = target.life]
                {
                    if (nodes_[number]->life == life)
                        start_node(number);
                });
}

void limits_world::begin(fault const& it)
{
    auto const number = resolve(it.agent);
    auto& target = *nodes_[number];
    auto const until = time_.now() + it.length;
    auto const extend = [until](base::time_point& end)
    {
        end = std::max(end, until);
    };
    switch (it.kind)
    {
    case fault_kind::kill:
    case fault_kind::leave:
        return begin_end(number, it);
    case fault_kind::freeze:
        return extend(target.frozen_until);
    case fault_kind::cut_from_log:
        return extend(target.no_log_until);
    case fault_kind::cut_from_list:
        return extend(target.no_list_until);
    case fault_kind::cut_from_agents:
        return extend(target.no_agents_until);
    case fault_kind::list_frozen:
        return extend(target.list_frozen_until);
    case fault_kind::log_down:
        return extend(log_down_until_);
    case fault_kind::list_down:
        return extend(list_down_until_);
    case fault_kind::lose_append_answers:
        return extend(answers_lost_until_);
    case fault_kind::unlisted:
        unlist(target.list_id());
        time_.after(it.length,
                    [this, number, life = target.life]
                    {
                        auto const& same = *nodes_[number];
                        if (same.life != life || !same.alive)
                            return;
                        auto listed = list_.rbegin()->second;
                        listed.insert(same.list_id());
                        list_[time_.now()] = listed;
                    });
        return;
    }
}

void limits_world::begin(demand const& it)
{
    auto const end = time_.now() + it.length;
    if (it.agent != every_agent)
        return generate(it, resolve(it.agent), end);
    for (unsigned n = 0; n < plan_.agents; ++n)
        generate(it, n, end);
}

void limits_world::tick(unsigned number, std::uint64_t life)
{
    auto& it = *nodes_[number];
    if (it.life != life || !it.alive)
        return;
    if (it.frozen_until > time_.now())
    {
        time_.at(it.frozen_until, [this, number, life] { tick(number, life); });
        return;
    }
    auto const now = local(it);
    perform(it, it.lease->tick(now));
    if (it.leaving && it.bucket && it.bucket->all_grants_ended(now))
        perform(it, it.lease->grants_ended(now));
    if (now - it.last_poll >= poll_interval)
    {
        it.last_poll = now;
        poll_log(it);
        poll_list(it);
    }
    carry_out(it);
    count_owners();
    time_.after(tick_interval, [this, number, life] { tick(number, life); });
}

void limits_world::poll_log(node& it)
{
    if (it.no_log_until > time_.now())
        return;
    auto const sent = local(it);
    time_.after(delay(),
                [this, sent, number = it.number, life = it.life, from = it.next_offset]
                {
                    if (!log_up())
                        return;
                    std::vector<log_entry> const records(
                        log_.begin() + static_cast<std::ptrdiff_t>(from - 1), log_.end());
                    deliver(number, life, delay(),
                            [this, sent, from, records](node& at)
                            {
                                if (at.no_log_until > time_.now())
                                    return;
                                at.directory.begin_read(from, 1);
                                auto offset = from;
                                for (auto const& entry : records)
                                    at.directory.apply(offset++, entry.record);
                                at.next_offset = std::max(at.next_offset, offset);
                                auto const now = local(at);
                                perform(at, at.lease->log_read(now, sent, at.directory));
                                auto const* const newest = at.directory.newest(workspace);
                                at.account->owner_known(now, at.directory.fence(workspace),
                                                        newest != nullptr &&
                                                            !newest->agent.empty());
                            });
                });
}

void limits_world::poll_list(node& it)
{
    if (it.no_list_until > time_.now())
        return;
    auto const sent = local(it);
    time_.after(delay(),
                [this, sent, number = it.number, life = it.life]
                {
                    if (!list_up())
                        return;
                    auto& reader = *nodes_[number];
                    if (reader.life != life)
                        return;
                    // What one reader sees never goes back in time.
                    auto const lag = base::duration(static_cast<std::int64_t>(random_.uniform_below(
                        static_cast<std::uint64_t>(plan_.list_lag.count()) + 1)));
                    if (reader.list_frozen_until <= time_.now())
                        reader.list_state_at = std::max(reader.list_state_at, time_.now() - lag);
                    auto const state = list_state(reader.list_state_at);
                    deliver(number, life, delay(),
                            [this, sent, state](node& at)
                            {
                                if (at.no_list_until <= time_.now())
                                    perform(at, at.lease->list_read(local(at), sent, state));
                            });
                });
}

void limits_world::append(node& it, limits::append_lease const& what)
{
    auto const number = it.number;
    auto const life = it.life;
    auto const finish = [this, number, life, id = what.id](base::duration after, bool done)
    {
        deliver(number, life, after,
                [this, id, done](node& at)
                { perform(at, at.lease->append_ended(local(at), id, done)); });
    };
    if (it.no_log_until > time_.now())
        return finish(answer_timeout, false);
    time_.after(delay(),
                [this, what, finish]
                {
                    if (!log_up())
                        return finish(answer_timeout, false);
                    log_.push_back({what.id, what.record});
                    if (!taken_over_ && what.record.previous != 0 && what.record.fence == 0)
                    {
                        taken_over_ = true;
                        schedule(anchor::takeover);
                    }
                    if (answers_lost_until_ > time_.now())
                        return finish(answer_timeout, false);
                    finish(delay(), true);
                });
}

void limits_world::perform(node& it, std::vector<limits::lease_action> const& actions)
{
    for (auto const& action : actions)
    {
        if (auto const* const what = std::get_if<limits::append_lease>(&action))
            append(it, *what);
        else if (auto const* const start = std::get_if<limits::start_owning>(&action))
        {
            using level = limits::workspace_bucket::start_level;
            it.bucket.emplace(local(it), start->fence, plan_.rate, plan_.burst,
                              start->full ? level::full : level::empty);
            it.granting = true;
            ++starts_;
        }
        else if (auto const* const stop = std::get_if<limits::stop_owning>(&action))
        {
            it.granting = false;
            if (!stop->resumable && !it.leaving)
                it.bucket.reset();
        }
        else
            it.granting = true;
    }
}

void limits_world::carry_out(node& it)
{
    for (auto const& action : it.account->actions(local(it)))
    {
        if (auto const* const what = std::get_if<limits::ask_for_grant>(&action))
            ask(it, *what);
        else
            report(it, std::get<limits::report_use>(action));
    }
}

void limits_world::ask(node& it, limits::ask_for_grant const& what)
{
    auto const* const holder = it.directory.newest(workspace);
    if (holder == nullptr)
        return;
    for (auto const& candidate : nodes_)
    {
        if (candidate->list_id() != holder->list_id() || !linked(it, *candidate))
            continue;
        deliver(candidate->number, candidate->life, delay(),
                [this, what, number = it.number, life = it.life](node& owner)
                {
                    auto const now = local(owner);
                    auto const mine =
                        owner.granting && owner.bucket && owner.bucket->fence() == what.fence;
                    base::duration retry{};
                    std::optional<limits::token_grant> grant;
                    auto const allowed = mine && owner.lease->may_grant(now);
                    if (allowed)
                        grant = owner.bucket->grant(now, what.tokens, what.least, retry);
                    if (!linked(*nodes_[number], owner))
                        return;
                    deliver(number, life, delay(),
                            [this, what, grant, retry, allowed](node& at)
                            {
                                auto const then = local(at);
                                if (grant)
                                    at.account->grant_received(then, what.request, *grant);
                                else if (allowed)
                                    at.account->grant_refused(then, what.request, retry);
                                else
                                    at.account->grant_failed(then, what.request);
                                auto const waiting = std::move(at.waiting);
                                at.waiting.clear();
                                for (auto request : waiting)
                                {
                                    ++request.attempt;
                                    offer(at.number, at.life, request);
                                }
                                carry_out(at);
                            });
                });
    }
}

void limits_world::report(node& it, limits::report_use const& what)
{
    auto const* const holder = it.directory.newest(workspace);
    if (holder == nullptr)
        return;
    for (auto const& candidate : nodes_)
    {
        if (candidate->list_id() != holder->list_id() || !linked(it, *candidate))
            continue;
        auto const settle = [this, what](node& owner)
        {
            if (owner.bucket && owner.bucket->fence() == what.fence)
                owner.bucket->settle(local(owner), what.grant_id, what.used, what.unused);
        };
        deliver(candidate->number, candidate->life, delay(), settle);
        // A transport may send a report twice.
        if (random_.uniform_below(8) == 0)
            deliver(candidate->number, candidate->life, delay() * 20, settle);
    }
}

void limits_world::offer(unsigned number, std::uint64_t life, offered request)
{
    auto& it = *nodes_[number];
    if (it.life != life || !it.alive || it.leaving)
        return;
    auto const result = it.account->admit(local(it), request.tokens, request.attempt == 0);
    if (result.result == limits::admission::verdict::waiting && request.attempt < 4)
    {
        it.waiting.push_back(request);
        return;
    }
    if (result.result != limits::admission::verdict::admitted)
    {
        ++refused_;
        return;
    }
    auto const index = admissions_.size();
    admissions_.push_back({{time_.now(), request.tokens}, request.tokens});
    deliver(number, life, request.run / 2,
            [this, request, reservation = result.reservation](node& at)
            {
                at.account->progress(local(at), reservation, request.used / 2);
                carry_out(at);
            });
    deliver(number, life, request.run,
            [this, index, request, reservation = result.reservation](node& at)
            {
                admissions_[index].request.tokens = request.used;
                at.account->complete(local(at), reservation, request.used);
                carry_out(at);
            });
}

void limits_world::generate(demand const& it, unsigned number, base::time_point end)
{
    if (time_.now() >= end || it.per_second == 0)
        return;
    auto& at = *nodes_[number];
    if (at.alive && at.frozen_until <= time_.now())
    {
        offered request;
        request.tokens = std::min(1 + random_.uniform_below(2 * it.tokens), plan_.burst);
        request.used = it.used_percent ? request.tokens * *it.used_percent / 100
                                       : 1 + random_.uniform_below(request.tokens);
        request.run = base::duration(static_cast<std::int64_t>(
            random_.uniform_below(static_cast<std::uint64_t>(it.longest_run.count()) + 1)));
        offer(number, at.life, request);
        carry_out(at);
    }
    std::uint64_t const mean = 1'000'000 / it.per_second;
    time_.after(base::duration(
                    static_cast<std::int64_t>(1 + random_.uniform_below(std::uint64_t{2} * mean))),
                [this, it, number, end] { generate(it, number, end); });
}

void limits_world::deliver(unsigned number, std::uint64_t life, base::duration after,
                           std::function<void(node&)> what)
{
    time_.after(after,
                [this, number, life, what = std::move(what)]() mutable
                {
                    auto& it = *nodes_[number];
                    if (it.life != life || !it.alive)
                        return;
                    if (it.frozen_until > time_.now())
                        return deliver(number, life, it.frozen_until - time_.now(),
                                       std::move(what));
                    what(it);
                });
}

base::time_point limits_world::local(node const& it) const
{
    auto const elapsed = static_cast<double>((time_.now() - epoch).count());
    // Clocks of different instances have nothing in common but their rate.
    auto const offset = std::chrono::hours(it.number);
    return epoch + offset + base::duration(static_cast<std::int64_t>(elapsed * it.clock_rate));
}

base::duration limits_world::delay()
{
    auto const slow = random_.uniform_below(20) == 0;
    return base::duration(
        static_cast<std::int64_t>(1 + random_.uniform_below(slow ? 400'000 : 5'000)));
}

bool limits_world::log_up() const
{
    return log_down_until_ <= time_.now();
}

bool limits_world::list_up() const
{
    return list_down_until_ <= time_.now();
}

bool limits_world::linked(node const& left, node const& right) const
{
    if (left.number == right.number)
        return true;
    return std::max(left.no_agents_until, right.no_agents_until) <= time_.now();
}

limits::agent_list limits_world::list_state(base::time_point at) const
{
    auto const& listed = std::prev(list_.upper_bound(std::max(at, base::time_point{})))->second;
    std::vector<limits::agent_list::entry> entries;
    entries.reserve(listed.size());
    for (auto const& id : listed)
        entries.push_back({id, false});
    return limits::agent_list(std::move(entries));
}

void limits_world::count_owners()
{
    unsigned owners = 0;
    for (auto const& it : nodes_)
    {
        if (it->alive && it->granting)
            ++owners;
    }
    most_owners_ = std::max(most_owners_, owners);
}

} // namespace savorymount::tests
