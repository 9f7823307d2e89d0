#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/gateway/cluster_state.hpp>
#include <savorymount/gateway/platform_adapter.hpp>
#include <savorymount/gateway/request_outcome.hpp>
#include <savorymount/runtime/outbound_pool.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <functional>

namespace savorymount::gateway
{

/// What every request flow uses.
struct gateway_context
{
    runtime::timer_service& timers;
    runtime::outbound_pool& pool;
    cluster_state& cluster;
    platform_adapter& platform;
    base::random_source& random;
    /// Called once when a request has ended.
    std::function<void(request_outcome const&)> request_ended;
    /// The process ends now, whatever still runs.
    bool process_exiting = false;
};

} // namespace savorymount::gateway
