#include <savorymount/gateway/body_admission.hpp>
#include <savorymount/gateway/refusal_response.hpp>

#include <utility>

namespace savorymount::gateway
{

body_admission::body_admission(runtime::timer_service& timers, cluster_state& cluster,
                               platform_adapter& platform,
                               std::function<void(request_outcome const&)> refused)
    : timers_(timers), cluster_(cluster), platform_(platform), refused_(std::move(refused))
{
}

void body_admission::handle_head(std::shared_ptr<runtime::inbound_connection> const& client,
                                 runtime::http_head const& head)
{
    refusal refused;
    admitted_request found;
    auto const request = platform_.decode_request(head, refused.reason);
    if (request && authorize(timers_.now(), cluster_, *request, found, refused))
        client->read_body(nullptr);
    else
        refuse(*client, request.value_or(caller_request{}), found, refused);
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
