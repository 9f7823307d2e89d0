#include <savorymount/base/digest.hpp>
#include <savorymount/gateway/admission.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration retry_after_without_configuration = 400ms;
constexpr base::duration retry_after_outdated_configuration = 200ms;
constexpr std::size_t max_part_id_bytes = 64;
// Callers choose the number of parts; with more, a report of losses would not fit into a datagram.
constexpr std::size_t max_tracked_parts = 12;

std::string request_digest_of(caller_request const& request, std::string const& body)
{
    auto digest = base::chain_digest(0, request.method);
    digest = base::chain_digest(digest, request.target);
    digest = base::chain_digest(digest, request.api_key.value_or(""));
    return base::to_hex(base::chain_digest(digest, body));
}

void set_prompt_digests(caller_request const& request, admitted_request& out)
{
    for (auto const& it : shared_part_ids(request))
    {
        if (out.shared_parts.size() < max_tracked_parts)
            out.shared_parts.push_back(base::chain_digest(0, it));
    }
    out.prompt_digest = base::chain_digest(0, out.request_digest);
    if (!request.prompt)
        return;
    for (auto const& it : request.prompt->parts)
        out.prompt_digest = base::chain_digest(out.prompt_digest, it.id);
}

double tokens_to_charge(caller_request const& request,
                        configuration::workspace_account const& workspace)
{
    if (request.prompt)
        return request.prompt->charged_tokens();
    return static_cast<double>(workspace.plain_tokens);
}

/// Refuses with a retryable status, since another instance may have a newer configuration.
refusal outdated_configuration()
{
    return {{base::error_kind::unavailable,
             "the configuration may be outdated; send the request again"},
            retry_after_outdated_configuration,
            0,
            0};
}

/// Sets the workspace of the request's API key. Fails if the route needs a key and it is unknown.
bool find_workspace(cluster_state const& cluster, base::time_point now,
                    caller_request const& request, admitted_request& out, refusal& refused)
{
    if (request.api_key)
        out.workspace = out.deployment->find_workspace(*request.api_key);
    if (out.workspace != nullptr || out.route->open || !out.deployment->needs_keys())
        return true;
    // The key may be newer than this instance's configuration, so another instance may accept it.
    if (!cluster.configuration_is_fresh(now))
        refused = outdated_configuration();
    else
        refused = {{base::error_kind::unauthorized, "the API key is unknown; use a valid key"},
                   std::nullopt,
                   0,
                   0};
    return false;
}

bool take_tokens(base::time_point now, cluster_state& cluster, caller_request const& request,
                 admitted_request& out, refusal& refused)
{
    auto* const bucket = out.workspace == nullptr ? nullptr : cluster.bucket(out.workspace->name);
    if (bucket == nullptr)
        return true;
    auto const tokens = tokens_to_charge(request, *out.workspace);
    auto const decision = bucket->admit(now, tokens);
    if (decision.admitted)
    {
        out.charged_tokens = tokens;
        return true;
    }
    refused = {
        {base::error_kind::rate_limited, "the workspace is above its rate; send less or later"},
        decision.retry_after,
        tokens,
        bucket->level(now)};
    return false;
}

} // namespace

int http_status(refusal const& it)
{
    switch (it.reason.kind)
    {
    case base::error_kind::invalid_input:
        return 400;
    case base::error_kind::unauthorized:
        return 401;
    case base::error_kind::not_found:
        return 404;
    case base::error_kind::rate_limited:
        return 429;
    default:
        return 503;
    }
}

std::optional<refusal> find_crash_refusal(base::time_point now, cluster_state& cluster,
                                          admitted_request const& admitted,
                                          caller_request const& request)
{
    auto const found = cluster.crash_attribution().find_cause(now, admitted.shared_parts);
    if (!found)
        return std::nullopt;
    auto const& [cause, remaining] = *found;
    std::string ids;
    for (auto const& id : shared_part_ids(request))
    {
        if (std::binary_search(cause.parts.begin(), cause.parts.end(), base::chain_digest(0, id)))
            ids += " " + id.substr(0, max_part_id_bytes);
    }
    return refusal{
        {base::error_kind::unavailable,
         "upstreams crashed on prompts with this part; send the prompt without it:" + ids},
        remaining,
        0,
        0};
}

bool authorize(base::time_point now, cluster_state& cluster, caller_request const& request,
               admitted_request& out, refusal& refused)
{
    cluster.observe_time(now);
    out.deployment = cluster.deployment();
    if (!out.deployment)
    {
        refused = {{base::error_kind::unavailable, "no configuration is known yet; try again"},
                   retry_after_without_configuration,
                   0,
                   0};
        return false;
    }
    if (cluster.started_on_outdated_configuration(now))
    {
        refused = outdated_configuration();
        return false;
    }
    out.route = out.deployment->find_route(request.host, request.target);
    if (out.route == nullptr)
    {
        if (cluster.configuration_is_fresh(now))
            refused = {{base::error_kind::not_found, "no route matches the host and path"},
                       std::nullopt,
                       0,
                       0};
        else
            refused = outdated_configuration();
        return false;
    }
    return find_workspace(cluster, now, request, out, refused);
}

bool admit(base::time_point now, cluster_state& cluster, caller_request const& request,
           std::string const& body, admitted_request& out, refusal& refused)
{
    if (!authorize(now, cluster, request, out, refused))
        return false;
    out.request_digest = request_digest_of(request, body);
    if (auto const remaining_quarantine =
            cluster.quarantine().remaining_quarantine(now, out.request_digest))
    {
        refused = {{base::error_kind::unavailable,
                    "this request crashed upstreams; change it before it is sent again"},
                   remaining_quarantine,
                   0,
                   0};
        return false;
    }
    set_prompt_digests(request, out);
    if (auto crash_refusal = find_crash_refusal(now, cluster, out, request))
    {
        refused = std::move(*crash_refusal);
        return false;
    }
    out.timeout = std::min(request.timeout.value_or(out.route->timeout), out.route->timeout);
    return take_tokens(now, cluster, request, out, refused);
}

} // namespace savorymount::gateway
