#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/gateway/fleet_view.hpp>
#include <savorymount/gateway/platform_port.hpp>
#include <savorymount/gateway/request_outcome.hpp>
#include <savorymount/runtime/outbound_pool.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <functional>

namespace savorymount::gateway
{

/// What every request flow uses.
struct flow_services
{
    runtime::timer_service& timers;
    runtime::outbound_pool& pool;
    fleet_view& view;
    platform_port& port;
    base::random_source& random;
    /// Called once when a request has ended.
    std::function<void(request_outcome const&)> ended;
    /// The process ends now, whatever still runs.
    bool process_ends = false;
};

} // namespace savorymount::gateway
