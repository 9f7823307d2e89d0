#include <savorymount/gateway/upstream_refusal.hpp>

#include <algorithm>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration overload_retry_delay = 120ms;
// Another instance may use a limited upstream sooner than this one.
constexpr base::duration max_limit_retry_delay = 1s;
// The store may answer again by then.
constexpr base::duration unread_store_retry_delay = 500ms;

/// When a caller whose request no upstream takes should send it again.
base::duration overload_retry_time(base::time_point now, cluster_state const& cluster,
                                   std::string const& service)
{
    auto const limited_until = cluster.upstreams().limited_until(now, service);
    if (!limited_until)
        return overload_retry_delay;
    auto const next_request_at = std::min(*limited_until, now + max_limit_retry_delay);
    return std::max(next_request_at - now, overload_retry_delay);
}

} // namespace

refusal unknown_origin_refusal(bool store_failed)
{
    // Text of two versions does not fit together, and the caller could not tell.
    refusal out;
    out.reason = {base::error_kind::unavailable,
                  "it is not known which software version began the stream; send the request "
                  "without Last-Event-Id to begin anew"};
    if (store_failed)
        out.retry_after = unread_store_retry_delay;
    return out;
}

refusal no_upstream_refusal(base::time_point now, cluster_state const& cluster,
                            std::string const& service, upstream_constraints const& constraints,
                            std::string const& reason)
{
    auto const& version = constraints.software_version;
    refusal out;
    if (version && !cluster.upstreams().serves_version(service, *version))
    {
        out.reason = {base::error_kind::unavailable,
                      "no upstream has the software version that began the stream; send the "
                      "request without Last-Event-Id to begin anew"};
        return out;
    }
    out.reason = {base::error_kind::overloaded, reason};
    out.retry_after = overload_retry_time(now, cluster, service);
    return out;
}

} // namespace savorymount::gateway
