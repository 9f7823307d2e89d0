#pragma once

#include <savorymount/membership/instance_directory.hpp>
#include <savorymount/membership/shutdown_state.hpp>
#include <savorymount/runtime/configuration_service.hpp>
#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/http_server.hpp>
#include <savorymount/runtime/kernel_settings.hpp>
#include <savorymount/runtime/list_follower.hpp>
#include <savorymount/runtime/log_follower.hpp>
#include <savorymount/runtime/metrics.hpp>
#include <savorymount/runtime/peer_pool.hpp>
#include <savorymount/runtime/rpc_server.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::runtime
{

/// What both daemons are built on: loop, timers, log, list, configuration, internal port, status
/// pages and shutdown.
class kernel
{
public:
    /// Makes this process's peer interface for one connection.
    /// Gets the other side's interface, if it is known already.
    using peer_maker = std::function<wire::Peer::Client(kj::Maybe<wire::Peer::Client> caller)>;
    /// Adds fields to the `/status` answer.
    using status_hook = std::function<void(nlohmann::json&)>;

    /// Null, with a reason, when a plug-in is unknown.
    static std::unique_ptr<kernel> make(kernel_settings settings, base::error& reason);

    kernel(kernel_settings settings, std::unique_ptr<event_loop> loop, platform_log log,
           instance_list list);

    kernel_settings const& settings() const { return settings_; }
    event_loop& loop() { return *loop_; }
    timer_service& timers() { return timers_; }
    log_follower& log() { return log_; }
    list_follower& list() { return list_; }
    configuration_service& configuration() { return configuration_; }
    membership::instance_directory& directory() { return directory_; }
    membership::shutdown_state& shutdown() { return shutdown_; }
    peer_pool& peers() { return peers_; }
    runtime::metrics& metrics() { return metrics_; }
    base::time_point now() const { return loop_->now(); }

    void set_peer_maker(peer_maker make) { make_peer_ = std::move(make); }
    void add_status(status_hook hook) { status_hooks_.push_back(std::move(hook)); }
    /// Called when SIGTERM arrives.
    void on_leave(std::function<void()> hook) { leave_hooks_.push_back(std::move(hook)); }
    /// Called for every heartbeat of a peer with its load.
    void on_heartbeat(
        std::function<void(std::string const&, wire::Context::Reader, wire::LoadReport::Reader)>
            hook)
    {
        heartbeat_hooks_.push_back(std::move(hook));
    }

    /// Fills in the context that goes with every message.
    void write_context(wire::Context::Builder context);

    /// Takes in the context of a received message; `peer` may be asked for a newer configuration.
    void read_context(wire::Context::Reader context, wire::Peer::Client peer);

    /// Opens the ports and starts to follow log and list.
    bool start(base::error& reason);

    /// Runs until the process has drained after SIGTERM.
    void run();

private:
    void handle_status(std::shared_ptr<http_exchange> const& exchange);
    nlohmann::json status();
    peer_connection_options peer_options(std::string const& name);
    void take_list(std::vector<instance_record> const& list);
    void leave();
    void check_drained();

    kernel_settings settings_;
    std::unique_ptr<event_loop> loop_;
    timer_service timers_;
    log_follower log_;
    list_follower list_;
    configuration_service configuration_;
    membership::instance_directory directory_;
    membership::shutdown_state shutdown_;
    peer_pool peers_;
    peer_maker make_peer_;
    std::vector<status_hook> status_hooks_;
    runtime::metrics metrics_;
    std::vector<std::function<void()>> leave_hooks_;
    std::vector<
        std::function<void(std::string const&, wire::Context::Reader, wire::LoadReport::Reader)>>
        heartbeat_hooks_;
    rpc_server internal_server_;
    http_server status_server_;
    timer_service::subscription drain_timer_;
};

} // namespace savorymount::runtime
