#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/base/time.hpp>
#include <savorymount/configuration/deployment.hpp>
#include <savorymount/gateway/caller_request.hpp>
#include <savorymount/gateway/cluster_state.hpp>

#include <memory>
#include <optional>
#include <string>

namespace savorymount::gateway
{

/// A refusal: the request has not run and never will.
struct refusal
{
    base::error reason;
    /// When the caller may try again; empty when that is no use.
    std::optional<base::duration> retry_after;
    /// What the request asked of its workspace's bucket, and the bucket's level.
    double requested_tokens = 0;
    double bucket_level = 0;

    bool operator==(refusal const&) const = default;
};

/// HTTP status of a refusal.
int http_status(refusal const& it);

/// A request that may go to an upstream.
struct admitted_request
{
    /// Keeps the route and the workspace alive.
    std::shared_ptr<configuration::deployment_index const> deployment;
    configuration::service_route const* route = nullptr;
    /// Null on an open route without a known key.
    configuration::workspace_account const* workspace = nullptr;
    /// Taken from the workspace's bucket.
    double charged_tokens = 0;
    /// Names requests of the same caller with the same content.
    std::string request_digest;
    /// Until when an answer is of use, from the arrival on.
    base::duration timeout{};
};

/// Decides whether a request may run for its workspace now, and takes its tokens. On false `out`
/// holds what is known of the request so far.
bool admit(base::time_point now, cluster_state& cluster, caller_request const& request,
           std::string const& body, admitted_request& out, refusal& refused);

} // namespace savorymount::gateway
