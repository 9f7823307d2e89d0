#pragma once

#include <savorymount/base/byte_account.hpp>
#include <savorymount/base/random_source.hpp>
#include <savorymount/gateway/cluster_state.hpp>
#include <savorymount/gateway/drain_schedule.hpp>
#include <savorymount/gateway/platform_adapter.hpp>
#include <savorymount/gateway/request_admission.hpp>
#include <savorymount/gateway/request_outcome.hpp>
#include <savorymount/gateway/response_memory.hpp>
#include <savorymount/gateway/stream_directory.hpp>
#include <savorymount/runtime/outbound_pool.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace savorymount::gateway
{

/// Services that all requests share.
struct gateway_context
{
    static constexpr std::size_t default_request_memory_bytes = std::size_t{11} * 1024 * 1024;

    runtime::timer_service& timers;
    runtime::outbound_pool& pool;
    cluster_state& cluster;
    platform_adapter& platform;
    base::random_source& random;
    response_memory& responses;
    stream_directory& streams;
    request_admission& admission;
    /// Called once at the end of each request.
    std::function<void(request_outcome const&)> request_ended;
    /// Set while the process drains.
    std::optional<drain_schedule> drain = std::nullopt;
    /// What the requests that run keep of their heads.
    std::shared_ptr<base::byte_account> request_memory =
        std::make_shared<base::byte_account>(default_request_memory_bytes);
    /// The process exits now and cuts off the requests that still run.
    bool process_exiting = false;
};

} // namespace savorymount::gateway
