#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/gateway/body_admission.hpp>
#include <savorymount/gateway/cluster_state.hpp>
#include <savorymount/gateway/gateway_metrics.hpp>
#include <savorymount/gateway/gateway_request.hpp>
#include <savorymount/gateway/gateway_settings.hpp>
#include <savorymount/gateway/peer_exchange.hpp>
#include <savorymount/gateway/platform_adapter.hpp>
#include <savorymount/gateway/request_admission.hpp>
#include <savorymount/gateway/request_log.hpp>
#include <savorymount/gateway/rollout_leader.hpp>
#include <savorymount/gateway/settings_reload.hpp>
#include <savorymount/gateway/stream_directory.hpp>
#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/inbound_server.hpp>
#include <savorymount/runtime/loop_delay_monitor.hpp>
#include <savorymount/runtime/outbound_pool.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <memory>
#include <string>

namespace savorymount::gateway
{

/// A router that sends requests to the upstreams directly, for deployments without agents.
class gateway
{
public:
    /// Null, with a reason, if the platform plug-in is unknown.
    static std::unique_ptr<gateway> make(gateway_settings const& settings,
                                         runtime::settings_origin const& origin,
                                         base::error& reason);

    /// `origin` is read again on SIGHUP and when the settings file changes.
    gateway(gateway_settings const& settings, runtime::settings_origin origin,
            std::unique_ptr<runtime::event_loop> loop, platform_adapter platform);

    /// Opens the ports and starts to follow the platform's store.
    bool start(base::error& reason);

    /// Runs until the process has drained after SIGTERM.
    void run();

private:
    void watch_settings_file();
    void reload_settings();
    void configure_log(gateway_settings const& settings);
    void follow_platform();
    void announce_instance();
    void apply_deployment(configuration::deployment data);
    void follow_cache_store();
    void handle_request(std::shared_ptr<runtime::inbound_connection> client,
                        runtime::http_request&& request);
    void request_ended(request_outcome const& outcome);
    void handle_readiness_request(runtime::inbound_connection& client);
    void handle_metrics_request(runtime::inbound_connection& client);
    void store_responded();
    void store_restored(std::uint64_t era);
    void store_failed(store_failure const& failure);
    bool ready() const;
    void start_draining();
    drain_schedule make_drain_schedule() const;
    void check_drained();
    void end_process();

    std::unique_ptr<runtime::event_loop> loop_;
    runtime::timer_service timers_;
    platform_adapter platform_;
    base::random_source random_;
    cluster_state cluster_;
    gateway_metrics metrics_;
    request_log request_log_;
    runtime::outbound_pool pool_;
    response_memory responses_;
    stream_directory streams_;
    request_admission admission_;
    gateway_context context_;
    body_admission body_admission_;
    runtime::inbound_server server_;
    runtime::inbound_server ready_server_;
    runtime::inbound_server metrics_server_;
    peer_exchange peer_exchange_;
    rollout_leader rollout_leader_;
    runtime::network_address peer_address_;
    std::string cache_store_address_;
    bool store_available_ = false;
    bool upstreams_known_ = false;
    std::optional<base::time_point> draining_since_;
    runtime::loop_delay_monitor loop_delay_monitor_;
    settings_reload settings_reload_;
    settings_file_watch settings_file_;
    runtime::timer_service::subscription settings_timer_;
    runtime::timer_service::subscription announce_timer_;
    runtime::timer_service::subscription drain_timer_;
};

} // namespace savorymount::gateway
