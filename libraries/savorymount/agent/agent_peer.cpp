#include <savorymount/agent/agent_peer.hpp>

#include <utility>

namespace savorymount::agent
{

kj::Promise<void> agent_peer::submit(SubmitContext call)
{
    observe(call.getParams().getContext());
    auto request = read_request(call.getParams().getRequest(), owner().now());
    auto sink = call.getParams().getSink();
    return requests_.submit(std::move(request), kj::mv(sink))
        .then(
            [this, call](runtime::request_outcome&& outcome) mutable
            {
                auto results = call.getResults();
                owner().write_context(results.initContext());
                auto out = results.initOutcome();
                runtime::write_outcome(outcome, out);
                write_load(out.initLoad());
            });
}

kj::Promise<void> agent_peer::attach(AttachContext call)
{
    observe(call.getParams().getContext());
    std::string const id = call.getParams().getRequestId();
    return requests_
        .attach(id, call.getParams().getPosition(), call.getParams().getSink(),
                call.getParams().getRefuseIfAbsent())
        .then(
            [this, call](request_table::attach_result&& result) mutable
            {
                auto results = call.getResults();
                owner().write_context(results.initContext());
                results.setFound(result.found);
                if (result.found)
                    runtime::write_outcome(result.outcome, results.initOutcome());
            });
}

kj::Promise<void> agent_peer::cancel(CancelContext call)
{
    observe(call.getParams().getContext());
    requests_.cancel(call.getParams().getRequestId());
    return kj::READY_NOW;
}

kj::Promise<void> agent_peer::reserve(ReserveContext call)
{
    auto const params = call.getParams();
    observe(params.getContext());
    base::duration retry_after{};
    bool is_owner = false;
    auto const grant =
        buckets_.reserve(params.getWorkspace(), params.getFence(), params.getTokens(),
                         params.getLeast(), retry_after, is_owner);
    auto results = call.getResults();
    owner().write_context(results.initContext());
    results.setOwner(is_owner);
    results.setRetryAfterMs(static_cast<std::uint32_t>(retry_after.count() / 1000));
    if (!grant)
        return kj::READY_NOW;
    auto out = results.initGrant();
    out.setId(grant->id);
    out.setTokens(grant->tokens);
    out.setFence(grant->fencing_token);
    out.setLifetimeMs(static_cast<std::uint32_t>(grant->lifetime.count() / 1000));
    return kj::READY_NOW;
}

kj::Promise<void> agent_peer::settle(SettleContext call)
{
    auto const params = call.getParams();
    observe(params.getContext());
    buckets_.settle(params.getWorkspace(), params.getFence(), params.getGrantId(), params.getUsed(),
                    params.getUnused());
    owner().write_context(call.getResults().initContext());
    return kj::READY_NOW;
}

void agent_peer::write_load(wire::LoadReport::Builder load)
{
    auto const& report = monitor_.report();
    load.setEngine(report.engine);
    load.setRunning(static_cast<std::uint32_t>(requests_.running()));
    load.setWaiting(static_cast<std::uint32_t>(requests_.waiting()));
    load.setQueuedTokens(requests_.queued_tokens());
    load.setCachedBlocks(report.cached_blocks);
    load.setReady(monitor_.healthy());
    auto models = load.initModels(static_cast<unsigned>(report.models.size()));
    for (unsigned i = 0; i < report.models.size(); ++i)
    {
        models[i].setModel(report.models[i].model);
        models[i].setAdapter(report.models[i].adapter);
        models[i].setVersion(report.models[i].version);
    }
}

} // namespace savorymount::agent
