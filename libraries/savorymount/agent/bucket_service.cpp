#include <savorymount/agent/bucket_service.hpp>
#include <savorymount/runtime/log_events.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::agent
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration tick_interval = 100ms;
// A request that has not got its tokens after this time is answered rather than kept. The hand-over
// of a bucket after a clean shutdown takes up to 3.5 s, which callers should not notice.
constexpr base::duration longest_wait = 5s;
// A leaving agent does not wait longer for a log that is out.
constexpr base::duration longest_release = 15s;

} // namespace

bucket_service::bucket_service(runtime::kernel& owner) : kernel_(owner)
{
    kernel_.configuration().on_change([this](configuration::configuration const& current)
                                      { configure(current); });
    kernel_.log().on_page([this](std::uint64_t from, runtime::log_page const& page)
                          { directory_.begin_read(from, page.first); });
    kernel_.log().on_record([this](runtime::log_record const& record)
                            { handle_lease_record(record); });
    kernel_.log().on_read([this](bool caught_up) { handle_log_read(caught_up); });
    kernel_.list().on_list([this](std::vector<runtime::instance_record> const& list)
                           { handle_list(list); });
    kernel_.on_leave([this] { leave(); });
    timer_ = kernel_.timers().every(tick_interval, [this] { tick(); });
}

void bucket_service::admit(std::string const& workspace, std::uint64_t tokens, admit_done done)
{
    auto* const state = find(workspace);
    if (state == nullptr)
    {
        done({.result = limits::admission::decision::unavailable, .retry_after = 1s});
        return;
    }
    state->waiting.push_back({tokens, kernel_.now(), true, std::move(done)});
    update_owner(workspace, *state);
    serve_waiting(workspace, *state);
}

void bucket_service::progress(std::string const& workspace, std::uint64_t reservation,
                              std::uint64_t used)
{
    auto* const state = find(workspace);
    if (state != nullptr)
        state->account.record_progress(kernel_.now(), reservation, used);
}

void bucket_service::complete(std::string const& workspace, std::uint64_t reservation,
                              std::uint64_t used)
{
    auto* const state = find(workspace);
    if (state == nullptr)
        return;
    state->account.complete(kernel_.now(), reservation, used);
    serve_waiting(workspace, *state);
}

std::optional<limits::token_grant>
bucket_service::reserve(std::string const& workspace, std::uint64_t fence, std::uint64_t tokens,
                        std::uint64_t least, base::duration& retry_after, bool& owner)
{
    auto* const state = find(workspace);
    // The clock is read here, after any pause of the process, so that a lapsed owner grants
    // nothing.
    auto const now = kernel_.now();
    owner = state != nullptr && state->bucket && state->granting &&
            state->lease.fencing_token() == fence && state->lease.may_grant(now);
    if (!owner)
        return std::nullopt;
    return state->bucket->grant(now, tokens, least, retry_after);
}

void bucket_service::settle(std::string const& workspace, std::uint64_t fence,
                            std::uint64_t grant_id, std::uint64_t used, std::uint64_t unused)
{
    auto* const state = find(workspace);
    if (state != nullptr && state->bucket && state->bucket->fencing_token() == fence)
        state->bucket->apply_usage_report(kernel_.now(), grant_id, used, unused);
}

std::size_t bucket_service::owned() const
{
    return static_cast<std::size_t>(std::count_if(
        workspaces_.begin(), workspaces_.end(), [](auto const& it) { return it.second.granting; }));
}

bucket_service::workspace_state* bucket_service::find(std::string const& workspace)
{
    auto const it = workspaces_.find(workspace);
    return it == workspaces_.end() ? nullptr : &it->second;
}

void bucket_service::configure(configuration::configuration const& current)
{
    auto const now = kernel_.now();
    auto const& settings = kernel_.settings();
    for (auto const* it : current.workspaces())
    {
        auto const found = workspaces_.find(it->workspace);
        if (found == workspaces_.end())
        {
            workspaces_.emplace(
                it->workspace,
                workspace_state{
                    .account = limits::grant_pool(it->rate_tokens_per_second, it->burst_tokens),
                    .lease =
                        limits::bucket_lease(it->workspace, settings.instance, settings.incarnation,
                                             {}, settings.log_retention / 4),
                    .bucket = nullptr,
                    .waiting = {},
                    .granting = false});
            continue;
        }
        found->second.account.configure(it->rate_tokens_per_second, it->burst_tokens);
        if (found->second.bucket)
            found->second.bucket->configure(now, it->rate_tokens_per_second, it->burst_tokens);
    }
}

void bucket_service::handle_lease_record(runtime::log_record const& record)
{
    if (!runtime::has_kind(record, "lease"))
        return;
    base::error reason;
    auto const lease = limits::parse_lease_record(record.body, reason);
    if (!lease)
    {
        runtime::log(runtime::log_events::log_record_ignored,
                     {{"offset", record.offset}, {"reason", reason.message}});
        return;
    }
    directory_.apply(record.offset, *lease);
}

void bucket_service::handle_log_read(bool caught_up)
{
    auto const now = kernel_.now();
    for (auto& it : workspaces_)
    {
        auto const actions =
            caught_up ? it.second.lease.on_log_read(now, kernel_.log().last_read_sent(), directory_)
                      : it.second.lease.on_log_records(now, directory_);
        carry_out(it.first, it.second, actions);
    }
}

void bucket_service::handle_list(std::vector<runtime::instance_record> const& list)
{
    std::vector<limits::agent_list::entry> agents;
    for (auto const& it : list)
    {
        if (it.role == "agent")
            agents.push_back({it.id, it.state == "leaving"});
    }
    limits::agent_list const view(std::move(agents));
    kernel_.peers().retain(
        [this, &view](std::string const& name)
        { return view.contains(name) || kernel_.peers().find(name) != nullptr; });
    auto const now = kernel_.now();
    for (auto& it : workspaces_)
    {
        auto const actions =
            it.second.lease.on_list_read(now, kernel_.list().last_read_sent(), view);
        carry_out(it.first, it.second, actions);
    }
}

void bucket_service::tick()
{
    auto const now = kernel_.now();
    for (auto& it : workspaces_)
    {
        auto& state = it.second;
        carry_out(it.first, state, state.lease.tick(now));
        if (!kernel_.shutdown().accepting() &&
            (!state.bucket || state.bucket->all_grants_expired(now)))
            carry_out(it.first, state, state.lease.on_grants_expired(now));
        update_owner(it.first, state);
        serve_waiting(it.first, state);
    }
    check_released(now);
}

void bucket_service::leave()
{
    auto const now = kernel_.now();
    for (auto& it : workspaces_)
        carry_out(it.first, it.second, it.second.lease.leave(now));
    // The process stays up until its leases are released, so that another agent need not wait for
    // their end.
    kernel_.shutdown().begin_task();
    release_until_ = now + longest_release;
}

void bucket_service::check_released(base::time_point now)
{
    if (!release_until_)
        return;
    bool const released = std::all_of(workspaces_.begin(), workspaces_.end(),
                                      [](auto const& it) { return it.second.lease.released(); });
    if (!released && now < *release_until_)
        return;
    release_until_.reset();
    kernel_.shutdown().end_task();
}

void bucket_service::carry_out(std::string const& workspace, workspace_state& state,
                               std::vector<limits::lease_action> const& actions)
{
    for (auto const& action : actions)
    {
        if (auto const* const it = std::get_if<limits::append_lease>(&action))
            append(workspace, *it);
        else if (auto const* const start = std::get_if<limits::start_granting>(&action))
            start_bucket(workspace, state, *start);
        else if (std::holds_alternative<limits::resume_granting>(action))
            state.granting = true;
        else if (auto const* const stop = std::get_if<limits::stop_granting>(&action))
        {
            state.granting = false;
            runtime::log(runtime::log_events::lease_lost,
                         {{"workspace", workspace},
                          {"fence", stop->fencing_token},
                          {"resumable", stop->resumable ? "yes" : "no"}});
        }
    }
}

void bucket_service::append(std::string const& workspace, limits::append_lease const& action)
{
    kernel_.log().append(
        action.id, limits::to_json(action.record),
        [this, workspace, id = action.id](std::optional<std::uint64_t> offset, base::error const&)
        {
            auto* const state = find(workspace);
            if (state != nullptr)
                carry_out(workspace, *state,
                          state->lease.on_append_finished(kernel_.now(), id, offset.has_value()));
        });
}

void bucket_service::start_bucket(std::string const& workspace, workspace_state& state,
                                  limits::start_granting const& action)
{
    auto const* const contract = kernel_.configuration().current().find_workspace(workspace);
    if (contract == nullptr)
        return;
    using start_level = limits::workspace_bucket::start_level;
    state.bucket = std::make_unique<limits::workspace_bucket>(
        kernel_.now(), action.fencing_token, contract->rate_tokens_per_second,
        contract->burst_tokens, action.full ? start_level::full : start_level::empty);
    state.granting = true;
    runtime::log(runtime::log_events::lease_acquired,
                 {{"workspace", workspace}, {"fence", action.fencing_token}});
}

void bucket_service::update_owner(std::string const& workspace, workspace_state& state)
{
    auto const* const it = holder(workspace);
    if (it == nullptr)
        return;
    bool reachable = state.granting;
    if (!own(*it))
    {
        auto const listed = kernel_.directory().find(it->agent);
        base::error ignored;
        auto const address = listed && listed->incarnation == it->incarnation
                                 ? runtime::parse_address("address", listed->address, ignored)
                                 : std::nullopt;
        if (address)
            kernel_.peers().ensure(it->list_entry_id(), *address);
        reachable = kernel_.peers().find(it->list_entry_id()) != nullptr;
    }
    state.account.on_owner_changed(kernel_.now(), it->fencing_token, reachable);
}

void bucket_service::serve_waiting(std::string const& workspace, workspace_state& state)
{
    std::deque<waiting_request> still_waiting;
    auto const now = kernel_.now();
    while (!state.waiting.empty())
    {
        auto request = std::move(state.waiting.front());
        state.waiting.pop_front();
        auto answer = state.account.admit(now, request.tokens, request.first);
        request.first = false;
        // An owner that is being connected or taken over may be reachable in a moment.
        bool const undecided = answer.result == limits::admission::decision::waiting ||
                               answer.result == limits::admission::decision::unavailable;
        if (undecided && now - request.since < longest_wait)
        {
            still_waiting.push_back(std::move(request));
            continue;
        }
        if (undecided)
            answer = {.result = limits::admission::decision::unavailable, .retry_after = 1s};
        request.done(answer);
    }
    std::move(state.waiting.begin(), state.waiting.end(), std::back_inserter(still_waiting));
    state.waiting = std::move(still_waiting);
    send(workspace, state);
}

void bucket_service::send(std::string const& workspace, workspace_state& state)
{
    for (auto const& action : state.account.take_actions(kernel_.now()))
    {
        if (auto const* const it = std::get_if<limits::request_grant>(&action))
            ask(workspace, state, *it);
        else
            report(workspace, std::get<limits::report_usage>(action));
    }
}

void bucket_service::ask(std::string const& workspace, workspace_state& state,
                         limits::request_grant const& action)
{
    auto const* const it = holder(workspace);
    auto* const connection =
        it != nullptr && !own(*it) ? kernel_.peers().find(it->list_entry_id()) : nullptr;
    if (connection != nullptr)
    {
        ask_remote(workspace, *connection, action);
        return;
    }
    base::duration retry_after{};
    bool owner = false;
    auto const grant = reserve(workspace, action.fencing_token, action.tokens, action.min_tokens,
                               retry_after, owner);
    if (grant)
        state.account.on_grant_received(kernel_.now(), action.request_id, *grant);
    else if (owner)
        state.account.on_grant_refused(kernel_.now(), action.request_id, retry_after);
    else
        state.account.on_grant_failed(kernel_.now(), action.request_id);
    // The answer may let a waiting request go on; it is served from the loop to keep the stack
    // flat.
    kernel_.loop().defer(
        [this, workspace]
        {
            auto* const later = find(workspace);
            if (later != nullptr)
                serve_waiting(workspace, *later);
        });
}

void bucket_service::ask_remote(std::string const& workspace, runtime::peer_connection& owner,
                                limits::request_grant const& action)
{
    auto request = owner.peer().reserveRequest();
    kernel_.write_context(request.initContext());
    request.setWorkspace(workspace);
    request.setFence(action.fencing_token);
    request.setTokens(action.tokens);
    request.setLeast(action.min_tokens);
    kernel_.loop().detach(request.send().then(
        [this, workspace,
         id = action.request_id](capnp::Response<wire::Peer::ReserveResults>&& answer)
        {
            auto* const state = find(workspace);
            if (state == nullptr)
                return;
            auto const grant = answer.getGrant();
            auto const now = kernel_.now();
            if (grant.getTokens() > 0)
                state->account.on_grant_received(
                    now, id,
                    {.id = grant.getId(),
                     .tokens = grant.getTokens(),
                     .lifetime = std::chrono::milliseconds(grant.getLifetimeMs()),
                     .fencing_token = grant.getFence()});
            else if (answer.getOwner())
                state->account.on_grant_refused(
                    now, id, std::chrono::milliseconds(answer.getRetryAfterMs()));
            else
                state->account.on_grant_failed(now, id);
            serve_waiting(workspace, *state);
        },
        [this, workspace, id = action.request_id](kj::Exception&&)
        {
            auto* const state = find(workspace);
            if (state == nullptr)
                return;
            state->account.on_grant_failed(kernel_.now(), id);
            serve_waiting(workspace, *state);
        }));
}

void bucket_service::report(std::string const& workspace, limits::report_usage const& action)
{
    auto const* const it = holder(workspace);
    if (it == nullptr || it->fencing_token != action.fencing_token)
        return;
    auto* const connection = own(*it) ? nullptr : kernel_.peers().find(it->list_entry_id());
    if (connection == nullptr)
    {
        settle(workspace, action.fencing_token, action.grant_id, action.used, action.unused);
        return;
    }
    auto request = connection->peer().settleRequest();
    kernel_.write_context(request.initContext());
    request.setWorkspace(workspace);
    request.setFence(action.fencing_token);
    request.setGrantId(action.grant_id);
    request.setUsed(action.used);
    request.setUnused(action.unused);
    kernel_.loop().detach(request.send().ignoreResult());
}

limits::workspace_lease const* bucket_service::holder(std::string const& workspace) const
{
    auto const* const it = directory_.newest_lease(workspace);
    return it != nullptr && !it->agent.empty() ? it : nullptr;
}

bool bucket_service::own(limits::workspace_lease const& it) const
{
    return it.list_entry_id() == kernel_.settings().name();
}

} // namespace savorymount::agent
