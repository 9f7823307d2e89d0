#include <savorymount/agent/request_table.hpp>
#include <savorymount/base/digest.hpp>
#include <savorymount/runtime/log_events.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::agent
{
namespace
{

using namespace std::chrono_literals;
using deduplication::begin_result;
using deduplication::claim_action;
using outcome_kind = runtime::request_outcome::kind;

constexpr base::duration tick_interval = 50ms;
// An entry attaches again within a heartbeat's silence limit and a connection attempt.
constexpr base::duration abandoned_after = 10s;
constexpr std::size_t outcome_overhead_bytes = 1024;

runtime::request_outcome refusal(base::error reason, base::duration retry_after, bool elsewhere)
{
    runtime::request_outcome out;
    out.end = outcome_kind::refused;
    out.reason = std::move(reason);
    out.retry_after = retry_after;
    out.retry_elsewhere = elsewhere;
    return out;
}

} // namespace

request_table::request_table(runtime::kernel& owner, agent_settings const& settings,
                             runtime::upstream_adapter const& adapter, upstream_monitor& monitor,
                             bucket_service& buckets, claim_service& claims)
    : kernel_(owner), settings_(settings), adapter_(adapter), monitor_(monitor), buckets_(buckets),
      claims_(claims), crashes_(owner, monitor)
{
    tick_ = kernel_.timers().every(tick_interval,
                                   [this]
                                   {
                                       outcomes_.remove_expired(kernel_.now());
                                       dispatch();
                                   });
}

kj::Promise<runtime::request_outcome> request_table::submit(submitted_request request,
                                                            wire::AnswerSink::Client sink)
{
    if (auto refused = check(request))
        return std::move(*refused);
    auto const verdict = outcomes_.begin(request.id, kernel_.now());
    if (verdict == begin_result::overloaded)
        return refusal({base::error_kind::overloaded,
                        "the agent remembers too many requests; try again later"},
                       1s, true);
    if (verdict != begin_result::started)
    {
        runtime::request_outcome duplicate;
        duplicate.reason = {base::error_kind::unknown_outcome,
                            "a request with this id was submitted before; attach to it instead"};
        return duplicate;
    }
    kernel_.shutdown().begin_request();
    auto const it = std::make_shared<agent_request>(kernel_.loop(), std::move(request));
    active_[it->id()] = it;
    it->on_entry_lost = [this, it = it.get()]
    {
        entry_lost(it->shared_from_this());
    };
    it->pump().attach(kj::mv(sink), it->request().resume_from);
    auto outcome = wait(it);
    admit(it);
    return outcome;
}

kj::Promise<request_table::attach_result> request_table::attach(std::string const& id,
                                                                std::uint64_t position,
                                                                wire::AnswerSink::Client sink,
                                                                bool refuse_if_absent)
{
    request_pointer it;
    auto const active = active_.find(id);
    if (active != active_.end())
        it = active->second;
    else
    {
        auto const found = outcomes_.find(id, kernel_.now());
        if (found.payload != nullptr)
            it = *found.payload;
        else if (refuse_if_absent && found.state == deduplication::outcome_state::absent)
            it = refuse_for_good(id);
    }
    if (!it)
        return attach_result{};
    if (!refuse_if_absent)
        return follow(it, kj::mv(sink));
    if (!it->pump().attach(kj::mv(sink), position))
        return attach_result{};
    it->abandoned = {};
    return wait(it).then(
        [](runtime::request_outcome&& outcome) {
            return attach_result{true, std::move(outcome)};
        });
}

kj::Promise<request_table::attach_result> request_table::follow(request_pointer const& it,
                                                                wire::AnswerSink::Client sink)
{
    // The first call keeps its connection; the others get the whole answer once it is there.
    return wait(it).then(
        [it, sink = kj::mv(sink)](
            runtime::request_outcome&& outcome) mutable -> kj::Promise<attach_result>
        {
            if (outcome.end != outcome_kind::completed)
                return attach_result{true, std::move(outcome)};
            auto const copy = it->pump().copy();
            if (!copy || !copy->attach(kj::mv(sink), 0))
                return attach_result{};
            auto paf = kj::newPromiseAndFulfiller<void>();
            auto const fulfiller =
                std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(paf.fulfiller));
            copy->when_confirmed([fulfiller] { (*fulfiller)->fulfill(); });
            return paf.promise.then([copy, outcome]() -> attach_result { return {true, outcome}; });
        });
}

request_table::request_pointer request_table::refuse_for_good(std::string const& id)
{
    auto const now = kernel_.now();
    if (outcomes_.begin(id, now) != begin_result::started)
        return nullptr;
    submitted_request placeholder;
    placeholder.id = id;
    auto it = std::make_shared<agent_request>(kernel_.loop(), std::move(placeholder));
    it->outcome = refusal(
        {base::error_kind::unavailable, "the request did not reach the instance; send it again"},
        1s, true);
    outcomes_.finish(id, it, outcome_overhead_bytes, now);
    return it;
}

void request_table::cancel(std::string const& id)
{
    auto const found = active_.find(id);
    if (found == active_.end())
        return;
    auto const it = found->second;
    if (queue_.remove(id))
        refuse(it, {base::error_kind::deadline, "the caller has gone"}, {}, false);
    else if (it->request().repeatable)
        abandon(it);
}

std::optional<runtime::request_outcome> request_table::check(submitted_request const& request) const
{
    auto const& current = kernel_.configuration().current();
    if (!kernel_.shutdown().accepting())
        return refusal({base::error_kind::unavailable, "the agent is leaving; try another one"}, 1s,
                       true);
    if (!kernel_.configuration().ready())
        return refusal(
            {base::error_kind::unavailable, "the agent has no configuration yet; try another one"},
            1s, true);
    auto const* const route = current.find_route(request.route);
    bool const open =
        route != nullptr && route->open && request.workspace == configuration::open_workspace;
    auto const* const key_owner = current.find_workspace_of_key(request.key_id);
    bool const keyed = key_owner != nullptr && key_owner->workspace == request.workspace;
    if (!open && !keyed)
        return refusal({base::error_kind::unauthorized,
                        "the key is not valid; ask the operator for a new one"},
                       {}, false);
    if (auto const left = crashes_.refused_for(request.digest))
        return refusal(
            {base::error_kind::crashed,
             "this request ended the upstreams that ran it twice and is refused for now; "
             "change the request"},
            *left, false);
    if (!monitor_.healthy())
        return refusal({base::error_kind::unavailable, "the upstream does not answer"}, 1s, true);
    return std::nullopt;
}

void request_table::admit(request_pointer const& it)
{
    it->reserved_tokens = cost(it->request());
    buckets_.admit(it->request().workspace, it->reserved_tokens,
                   [this, it](limits::admission const& answer) { admitted(it, answer); });
}

void request_table::admitted(request_pointer const& it, limits::admission const& answer)
{
    using verdict = limits::admission::decision;
    if (answer.result == verdict::admitted)
    {
        it->reservation = answer.reservation;
        enqueue(it);
        return;
    }
    if (answer.result == verdict::too_large)
        refuse(
            it,
            {base::error_kind::too_large,
             "the request needs " + std::to_string(it->reserved_tokens) +
                 " tokens, more than the burst of its contract; shorten the prompt or max_tokens"},
            {}, false);
    else if (answer.result == verdict::refused)
        refuse(it,
               {base::error_kind::rate_limited,
                "the workspace has used its rate and burst; retry after the time given"},
               answer.retry_after, false);
    else
        refuse(it,
               {base::error_kind::unavailable,
                "the workspace's token bucket has no reachable owner at the moment; retry"},
               std::max<base::duration>(answer.retry_after, 1s), false);
}

void request_table::enqueue(request_pointer const& it)
{
    auto const* const contract =
        kernel_.configuration().current().find_workspace(it->request().workspace);
    queueing::queued_request entry;
    entry.id = it->id();
    entry.workspace = it->request().workspace;
    entry.tokens = std::max<std::uint64_t>(it->reserved_tokens, 1);
    entry.weight = contract != nullptr ? contract->weight : 1;
    entry.priority = it->request().priority;
    entry.deadline = it->request().deadline;
    base::duration retry_after{};
    base::error reason;
    if (!queue_.enqueue(kernel_.now(), std::move(entry), retry_after, reason))
    {
        refuse(it, std::move(reason), retry_after, true);
        return;
    }
    dispatch();
}

void request_table::dispatch()
{
    while (running_ < settings_.concurrency)
    {
        std::vector<queueing::queued_request> expired;
        auto const next = queue_.next(kernel_.now(), expired);
        for (auto const& it : expired)
        {
            auto const found = active_.find(it.id);
            if (found != active_.end())
                refuse(found->second,
                       {base::error_kind::deadline, "the deadline passed while the request waited"},
                       1s, false);
        }
        if (!next)
            return;
        auto const found = active_.find(next->id);
        if (found == active_.end())
            continue;
        ++running_;
        taken_[next->id] = *next;
        start(found->second);
    }
}

void request_table::start(request_pointer const& it)
{
    auto const& request = it->request();
    if (request.repeatable || request.idempotency_key.empty())
    {
        run(it);
        return;
    }
    auto const& own = kernel_.settings();
    it->claim = deduplication::claim{request.workspace, request.idempotency_key, request.id,
                                     own.instance,      own.incarnation,         request.digest};
    claims_.decide(*it->claim, [this, it](deduplication::claim_decision const& verdict)
                   { claimed(it, verdict); });
}

void request_table::claimed(request_pointer const& it, deduplication::claim_decision const& verdict)
{
    if (verdict.action == claim_action::run_here)
    {
        // Attaching calls ask for the id in the winning claim, which may be that of an earlier
        // call.
        it->claimed_id = verdict.request_id;
        if (it->claimed_id != it->id())
        {
            outcomes_.begin(it->claimed_id, kernel_.now());
            active_[it->claimed_id] = it;
        }
        run(it);
        return;
    }
    runtime::request_outcome outcome;
    if (verdict.action == claim_action::attach)
    {
        outcome = refusal({base::error_kind::conflict,
                           "another call with this idempotency key has the right to run"},
                          {}, false);
        outcome.attach_instance = verdict.agent + "#" + verdict.incarnation;
        outcome.attach_request = verdict.request_id;
    }
    else if (verdict.action == claim_action::refuse_conflict)
        outcome = refusal({base::error_kind::conflict,
                           "the idempotency key was used for another request; use a new key"},
                          {}, false);
    else if (verdict.action == claim_action::refuse_not_run)
        outcome = refusal({base::error_kind::unavailable,
                           "the platform's log does not confirm the idempotency key now; send the "
                           "request again later"},
                          2s, false);
    else
        outcome.reason = {base::error_kind::unknown_outcome,
                          "an earlier call with this idempotency key may have run and its outcome "
                          "is lost; check its effect before you use a new key"};
    finish(it, std::move(outcome));
}

void request_table::run(request_pointer const& it)
{
    auto const& request = it->request();
    it->engine_before = monitor_.report().engine;
    std::string salt;
    if (!request.model.empty())
        salt = base::sha256_hex(request.workspace + "\n" + request.model + "\n" + request.adapter +
                                "\n" + request.model_version);
    // The prompt is computed whatever the answer's length, so its tokens need not stay reserved.
    if (it->reservation != 0)
        buckets_.progress(request.workspace, it->reservation,
                          it->reserved_tokens -
                              std::min(it->reserved_tokens, request.answer_tokens));
    it->run(adapter_, salt, settings_.upstream_idle_timeout,
            [this, it](runtime::request_outcome outcome) { ended(it, std::move(outcome)); });
}

void request_table::ended(request_pointer const& it, runtime::request_outcome outcome)
{
    if (outcome.end == outcome_kind::completed)
    {
        outcome.held_blocks = static_cast<std::uint32_t>(it->request().blocks.size());
        if (outcome.prompt_tokens > 0)
            estimator_.observe(it->request().model, it->request().body.size(),
                               outcome.prompt_tokens);
        release_slot(it, outcome);
        // The outcome follows the last chunk, so that the entry never ends an answer too early.
        it->pump().when_confirmed([this, it, outcome] { finish(it, outcome); });
        return;
    }
    if (outcome.end == outcome_kind::failed)
        crashes_.examine(it, std::move(outcome),
                         [this, it](runtime::request_outcome examined)
                         { finish(it, std::move(examined)); });
    else
        finish(it, std::move(outcome));
}

void request_table::refuse(request_pointer const& it, base::error reason,
                           base::duration retry_after, bool elsewhere)
{
    finish(it, refusal(std::move(reason), retry_after, elsewhere));
}

void request_table::release_slot(request_pointer const& it, runtime::request_outcome const& outcome)
{
    std::uint64_t used = 0;
    if (outcome.end == outcome_kind::completed && outcome.prompt_tokens > 0)
        used = outcome.prompt_tokens + outcome.answer_tokens;
    else if (outcome.end != outcome_kind::refused)
        used = it->reserved_tokens;
    auto const reservation = std::exchange(it->reservation, 0);
    if (reservation != 0)
        buckets_.complete(it->request().workspace, reservation, used);
    auto const taken = taken_.find(it->id());
    if (taken == taken_.end())
        return;
    queue_.on_completed(kernel_.now(), taken->second, used);
    taken_.erase(taken);
    --running_;
    kernel_.loop().defer([this] { dispatch(); });
}

void request_table::finish(request_pointer const& it, runtime::request_outcome outcome)
{
    auto const id = it->id();
    if (active_.erase(id) == 0)
        return;
    auto const now = kernel_.now();
    bool const ran = outcome.end != outcome_kind::refused;
    release_slot(it, outcome);
    it->abandoned = {};
    it->release_body();
    it->pump().finish();
    it->outcome = std::move(outcome);
    if (ran)
        outcomes_.finish(id, it, outcome_overhead_bytes, now);
    else
        outcomes_.withdraw(id);
    if (!it->claimed_id.empty())
        end_claim(it, ran);
    for (auto& waiter : it->waiters)
        waiter->fulfill();
    it->waiters.clear();
    kernel_.shutdown().end_request();
}

void request_table::end_claim(request_pointer const& it, bool ran)
{
    if (!ran)
        claims_.withdraw(*it->claim, it->claimed_id);
    if (it->claimed_id == it->id())
        return;
    active_.erase(it->claimed_id);
    if (ran)
        outcomes_.finish(it->claimed_id, it, outcome_overhead_bytes, kernel_.now());
    else
        outcomes_.withdraw(it->claimed_id);
}

void request_table::abandon(request_pointer const& it)
{
    if (!it->running())
        return;
    adapter_.cancel(it->id().substr(0, it->id().rfind('.')));
    it->stop({base::error_kind::deadline, "the caller has gone"});
}

void request_table::entry_lost(request_pointer const& it)
{
    // Work that nobody will read is stopped; a request that may not be repeated runs to its end.
    if (!it->request().repeatable)
        return;
    it->abandoned = kernel_.timers().after(abandoned_after,
                                           [this, weak = std::weak_ptr<agent_request>(it)]
                                           {
                                               if (auto const request = weak.lock())
                                                   cancel(request->id());
                                           });
}

kj::Promise<runtime::request_outcome> request_table::wait(request_pointer const& it)
{
    if (it->outcome)
        return *it->outcome;
    auto paf = kj::newPromiseAndFulfiller<void>();
    it->waiters.push_back(kj::mv(paf.fulfiller));
    return paf.promise.then([it]() -> runtime::request_outcome { return *it->outcome; });
}

std::uint64_t request_table::cost(submitted_request const& request) const
{
    if (request.model.empty())
        return request.prompt_tokens;
    return estimator_.estimate(request.model, request.body.size()) + request.answer_tokens;
}

} // namespace savorymount::agent
