#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/base/time.hpp>
#include <savorymount/configuration/deployment.hpp>
#include <savorymount/gateway/caller_request.hpp>
#include <savorymount/gateway/cluster_state.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::gateway
{

/// Why a request is refused without being executed.
struct refusal
{
    base::error reason;
    /// Delay before the caller may retry; empty if a retry can't succeed.
    std::optional<base::duration> retry_after;
    /// Tokens that the request needed, and the level of its workspace's rate limit bucket.
    double requested_tokens = 0;
    double bucket_level = 0;

    bool operator==(refusal const&) const = default;
};

int http_status(refusal const& it);

/// A request that may be sent to an upstream.
struct admitted_request
{
    /// Owns the objects that `route` and `workspace` point to.
    std::shared_ptr<configuration::deployment_index const> deployment;
    configuration::service_route const* route = nullptr;
    /// Null if the route is open and the request has no known API key.
    configuration::workspace_account const* workspace = nullptr;
    /// Tokens taken from the workspace's rate limit bucket.
    double charged_tokens = 0;
    /// Equal for requests with the same API key and content; key of the crash quarantine.
    std::string request_digest;
    /// Digests of the prompt parts that the request may share with others.
    std::vector<std::uint64_t> shared_parts;
    /// Identifies the request among those that share prompt parts.
    std::uint64_t prompt_digest = 0;
    /// Time from the arrival to the request's deadline.
    base::duration timeout{};
};

/// The refusal of a request whose prompt parts crash upstreams; empty if they are not known to.
std::optional<refusal> find_crash_refusal(base::time_point now, cluster_state& cluster,
                                          admitted_request const& admitted,
                                          caller_request const& request);

/// Finds the route and the workspace of a request, which need only its head. On false, `refused` is
/// set and `out` holds what was found before the refusal.
bool authorize(base::time_point now, cluster_state& cluster, caller_request const& request,
               admitted_request& out, refusal& refused);

/// Finds the route and the workspace of a request and charges its tokens. On false, `refused` is
/// set and `out` holds what was found before the refusal.
bool admit(base::time_point now, cluster_state& cluster, caller_request const& request,
           std::string const& body, admitted_request& out, refusal& refused);

} // namespace savorymount::gateway
