#include <savorymount/gateway/body_admission.hpp>
#include <savorymount/gateway/refusal_response.hpp>
#include <savorymount/gateway/retry_decision.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;
using decision = queueing::body_budget::decision;

// Callers give up on a repeatable request that is not read for a second or a third of its time;
// these are somewhat less.
constexpr base::duration max_repeatable_wait = 800ms;
constexpr int repeatable_wait_divisor = 4;
constexpr int wait_divisor = 2;

base::duration max_wait_of(caller_request const& request, configuration::service_route const& route)
{
    auto const timeout = std::min(request.timeout.value_or(route.timeout), route.timeout);
    if (is_repeatable(route.kind, route.resumable))
        return std::min(max_repeatable_wait, timeout / repeatable_wait_divisor);
    return timeout / wait_divisor;
}

refusal memory_refusal(base::duration retry_after)
{
    return {{base::error_kind::overloaded,
             "the memory for request bodies is in use; send the request later"},
            retry_after,
            0,
            0};
}

} // namespace

/// Memory of one body. It is returned on destruction.
class body_admission::reservation
{
public:
    reservation(std::weak_ptr<body_admission*> owner, ticket id) : owner_(std::move(owner)), id_(id)
    {
    }
    ~reservation()
    {
        if (auto const owner = owner_.lock())
            (*owner)->release(id_);
    }
    reservation(reservation const&) = delete;
    reservation& operator=(reservation const&) = delete;

    ticket id() const { return id_; }

private:
    std::weak_ptr<body_admission*> owner_;
    ticket id_;
};

body_admission::body_admission(runtime::timer_service& timers, cluster_state& cluster,
                               platform_adapter& platform, queueing::body_budget_limits limits,
                               std::function<void(request_outcome const&)> refused)
    : timers_(timers), cluster_(cluster), platform_(platform), refused_(std::move(refused)),
      budget_(limits)
{
}

void body_admission::handle_head(std::shared_ptr<runtime::inbound_connection> const& client,
                                 runtime::http_head const& head)
{
    refusal refused;
    admitted_request found;
    auto request = platform_.decode_request(head, refused.reason);
    if (!request || !authorize(timers_.now(), cluster_, *request, found, refused))
    {
        refuse(*client, request.value_or(caller_request{}), found, refused);
        return;
    }
    // Nothing tells the size of a body in chunks.
    auto const bytes =
        static_cast<std::size_t>(head.content_length.value_or(client->max_body_bytes()));
    auto const workspace = found.workspace == nullptr ? "" : found.workspace->name;
    auto const max_wait = max_wait_of(*request, *found.route);
    auto const answer = budget_.request(timers_.now(), workspace, bytes, max_wait);
    switch (answer.result)
    {
    case decision::granted:
        client->read_body(std::make_shared<reservation>(self_, answer.id));
        return;
    case decision::waiting:
        wait(answer.id, {client, std::move(*request), std::move(found), {}}, max_wait);
        return;
    case decision::rejected:
        break;
    }
    refuse(*client, *request, found, memory_refusal(answer.retry_after));
}

bool body_admission::handle_body(runtime::http_request& request, refusal& refused)
{
    if (request.memory)
    {
        budget_.shrink(std::static_pointer_cast<reservation>(request.memory)->id(),
                       request.body.size());
        read_granted_bodies();
        return true;
    }
    // The body arrived together with its head, so it is small.
    auto const answer =
        budget_.request(timers_.now(), "", request.body.size(), base::duration::zero());
    if (answer.result == decision::granted)
    {
        request.memory = std::make_shared<reservation>(self_, answer.id);
        return true;
    }
    budget_.release(answer.id);
    refused = memory_refusal(answer.retry_after);
    return false;
}

void body_admission::wait(ticket id, waiting_body it, base::duration max_wait)
{
    it.timeout = timers_.after(max_wait, [this, id] { give_up(id); });
    waiting_.emplace(id, std::move(it));
}

void body_admission::read_granted_bodies()
{
    if (budget_.waiting() == 0)
        return;
    for (auto const id : budget_.grant_waiting(timers_.now()))
    {
        auto const it = waiting_.extract(id);
        // A connection that has closed does not take the memory, which then returns at once.
        it.mapped().client->read_body(std::make_shared<reservation>(self_, id));
    }
}

void body_admission::give_up(ticket id)
{
    auto const it = waiting_.extract(id);
    release(id);
    refuse(*it.mapped().client, it.mapped().request, it.mapped().found,
           memory_refusal(queueing::body_budget::default_retry_after));
}

void body_admission::release(ticket id)
{
    budget_.release(id);
    read_granted_bodies();
}

void body_admission::refuse(runtime::inbound_connection& client, caller_request const& request,
                            admitted_request const& found, refusal const& it)
{
    auto const now = timers_.now();
    request_outcome out;
    out.id = request.id;
    out.resumes = request.resumes.value_or("");
    out.end = request_end::refused;
    out.status = http_status(it);
    out.reason = it.reason.message;
    out.refusal_kind = it.reason.kind;
    out.store_age = cluster_.store_age(now).value_or(base::duration(-1));
    if (found.deployment)
        out.configuration_version = found.deployment->data().version;
    if (found.route != nullptr)
        out.route = found.route->name;
    if (found.workspace != nullptr)
        out.workspace = found.workspace->name;
    client.refuse_body(out.status, refusal_headers(it), it.reason.message + "\n");
    refused_(out);
}

} // namespace savorymount::gateway
