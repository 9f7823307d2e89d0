#include <savorymount/base/digest.hpp>
#include <savorymount/gateway/gateway.hpp>
#include <savorymount/runtime/log_events.hpp>
#include <savorymount/runtime/plugin_registry.hpp>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <sys/resource.h>
#include <utility>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;
namespace events = runtime::log_events;

// The load balancer removes an instance after two failed checks, one second apart, and sends new
// connections until then.
constexpr base::duration load_balancer_removal_delay = 2800ms;
// Time reserved before SIGKILL to report the shutdown and release the leader lease.
constexpr base::duration shutdown_margin = 700ms;
// The first request of a new connection arrives within this time.
constexpr base::duration new_connection_time = 500ms;
constexpr base::duration drain_check_interval = 50ms;
constexpr base::duration release_timeout = 200ms;
constexpr base::duration announce_retry_delay = 300ms;
constexpr base::duration settings_check_interval = 500ms;

std::string settings_file_path()
{
    char const* const path = std::getenv(runtime::settings_file_variable);
    return path == nullptr ? "" : path;
}

configuration::client_limits status_limits()
{
    configuration::client_limits out;
    out.max_header_bytes = std::size_t{8} * 1024;
    out.max_body_bytes = std::size_t{8} * 1024;
    out.idle_timeout = 60s;
    return out;
}

std::size_t descriptor_limit()
{
    rlimit out{};
    getrlimit(RLIMIT_NOFILE, &out);
    return out.rlim_cur;
}

runtime::inbound_bounds caller_bounds(gateway_settings const& settings)
{
    // The other descriptors are for upstreams, the store, peers and the status ports.
    runtime::inbound_bounds out;
    out.max_connections = descriptor_limit() / 8 * 5;
    constexpr std::size_t head_divisor = 5;
    out.max_head_bytes = settings.memory_bytes / head_divisor;
    return out;
}

runtime::inbound_bounds status_bounds(gateway_settings const& settings)
{
    constexpr std::size_t min_connections = 8;
    constexpr std::size_t max_connections = 64;
    runtime::inbound_bounds out;
    out.max_connections = std::clamp(descriptor_limit() / 32, min_connections, max_connections);
    constexpr std::size_t head_divisor = 20;
    out.max_head_bytes = settings.memory_bytes / head_divisor;
    return out;
}

runtime::outbound_options connection_options(gateway_settings const& settings)
{
    runtime::outbound_options out;
    out.max_overhead_bytes = settings.max_response_overhead_bytes;
    return out;
}

queueing::body_budget_limits body_limits(gateway_settings const& settings)
{
    // The rest is for responses, the tables of the process and what the allocator keeps.
    constexpr double body_share = 0.55;
    constexpr double waiting_share = 0.05;
    auto const memory = static_cast<double>(settings.memory_bytes);
    return queueing::make_body_budget_limits(static_cast<std::size_t>(memory * body_share),
                                             static_cast<std::size_t>(memory * waiting_share));
}

void log_crash_cause(retries::crash_cause const& cause, bool refused)
{
    std::string digests;
    for (auto const it : cause.parts)
        digests += (digests.empty() ? "" : ",") + base::to_hex(it);
    runtime::log(refused ? events::prompt_parts_refused : events::prompt_parts_accepted,
                 {{"part_digests", digests}, {"upstreams", cause.upstreams}});
}

void log_loop_delay(runtime::loop_delay const& it)
{
    runtime::log(events::event_loop_late,
                 {{"late_ms", base::to_milliseconds(it.delay)},
                  {"processor_ms", base::to_milliseconds(it.processor_time)},
                  {"task", it.longest_task.task},
                  {"task_ms", base::to_milliseconds(it.longest_task.time)}});
}

void log_upstream_limit(std::string const& upstream, std::optional<double> limit)
{
    if (limit)
        runtime::log(events::upstream_limit_named,
                     {{"upstream", upstream}, {"requests_per_second", *limit}});
    else
        runtime::log(events::upstream_limit_ended, {{"upstream", upstream}});
}

} // namespace

std::unique_ptr<gateway> gateway::make(gateway_settings const& settings,
                                       runtime::settings_origin const& origin, base::error& reason)
{
    auto loop = std::make_unique<runtime::event_loop>();
    auto platform = runtime::plugin_registry<platform_adapter>::instance().make(
        settings.platform_plugin, *loop, settings.store_address, reason);
    if (!platform)
        return nullptr;
    return std::make_unique<gateway>(settings, origin, std::move(loop), std::move(*platform));
}

gateway::gateway(gateway_settings const& settings, runtime::settings_origin origin,
                 std::unique_ptr<runtime::event_loop> loop, platform_adapter platform)
    : loop_(std::move(loop)), timers_(*loop_), platform_(std::move(platform)),
      random_(std::hash<std::string>()(settings.instance + settings.incarnation)),
      cluster_(settings, timers_.now()), metrics_(cluster_),
      request_log_(settings.log_lines_per_second),
      pool_(*loop_, timers_, connection_options(settings)), responses_(settings.responses),
      streams_(timers_, cluster_, platform_, [this] { return peer_exchange_.reads_store(); }),
      admission_(timers_, cluster_, random_), context_{timers_,
                                                       pool_,
                                                       cluster_,
                                                       platform_,
                                                       random_,
                                                       responses_,
                                                       streams_,
                                                       admission_,
                                                       [this](request_outcome const& it)
                                                       {
                                                           request_ended(it);
                                                       }},
      body_admission_(timers_, cluster_, platform_, body_limits(settings),
                      [this](request_outcome const& it) { request_ended(it); }),
      server_(
          *loop_, timers_,
          [this](auto client, runtime::http_request&& request)
          { handle_request(std::move(client), std::move(request)); },
          caller_bounds(settings)),
      ready_server_(
          *loop_, timers_,
          [this](auto const& client, auto const&) { handle_readiness_request(*client); },
          status_bounds(settings)),
      metrics_server_(
          *loop_, timers_,
          [this](auto const& client, auto const&) { handle_metrics_request(*client); },
          status_bounds(settings)),
      peer_exchange_(*loop_, timers_, cluster_,
                     {[this](base::time_point now) { return rollout_leader_.loads(now); },
                      [this](base::time_point now) { return rollout_leader_.held_lease(now); },
                      [this](base::time_point now, membership::held_lease const& it)
                      { rollout_leader_.leader_reported(now, it); },
                      [this](membership::store_update const& it)
                      {
                          platform_.apply_store_update(it,
                                                       cluster_.earliest_arrival(timers_.now()));
                      }}),
      rollout_leader_(timers_, cluster_, platform_, random_,
                      {[this] { peer_exchange_.send_partial_report(); },
                       [this](std::vector<member_record> const& it)
                       { peer_exchange_.update_members(it); },
                       [this] { return peer_exchange_.reads_store(); },
                       [this](bool is_leader)
                       {
                           metrics_.leadership_changed(is_leader);
                       }}),
      loop_delay_monitor_(timers_,
                          [this](runtime::loop_delay const& it)
                          {
                              metrics_.event_loop_late(it.delay);
                              log_loop_delay(it);
                          }),
      settings_reload_(std::move(origin)), settings_file_(settings_file_path())
{
    context_.request_memory = std::make_shared<base::byte_account>(settings.request_memory_bytes);
    ready_server_.set_limits(status_limits());
    metrics_server_.set_limits(status_limits());
    server_.on_body_announced([this](std::shared_ptr<runtime::inbound_connection> const& client,
                                     runtime::http_head const& head)
                              { body_admission_.handle_head(client, head); });
}

bool gateway::start(base::error& reason)
{
    auto const& settings = cluster_.settings();
    auto const http_port = server_.listen(settings.http_listen, reason);
    auto const ready_port =
        http_port ? ready_server_.listen(settings.ready_listen, reason) : std::nullopt;
    auto const metrics_port =
        ready_port ? metrics_server_.listen(settings.metrics_listen, reason) : std::nullopt;
    auto const peer_address = metrics_port ? peer_exchange_.start(reason) : std::nullopt;
    if (!peer_address)
        return false;
    peer_address_ = *peer_address;
    configure_log(settings);
    cluster_.on_resumed(
        [](base::duration pause) {
            runtime::log(events::process_resumed, {{"paused_ms", base::to_milliseconds(pause)}});
        });
    cluster_.on_version_found(
        [this](std::string const& model, std::uint64_t version)
        {
            metrics_.desired_version_changed(model, version);
            runtime::log(events::weights_found, {{"model", model}, {"version", version}});
        });
    cluster_.crash_attribution().on_cause_changed(log_crash_cause);
    cluster_.upstream_limits().on_changed(log_upstream_limit);
    loop_->on_termination([this] { start_draining(); });
    watch_settings_file();
    follow_platform();
    announce_instance();
    streams_.start();
    rollout_leader_.start();
    runtime::log(events::started,
                 {{"instance", settings.instance},
                  {"incarnation", settings.incarnation},
                  {"data_centre", settings.data_centre},
                  {"http", runtime::to_string({settings.http_listen.host, *http_port})},
                  {"ready", runtime::to_string({settings.ready_listen.host, *ready_port})},
                  {"metrics", runtime::to_string({settings.metrics_listen.host, *metrics_port})}});
    return true;
}

void gateway::run()
{
    loop_->run();
    runtime::log(events::stopped);
}

void gateway::watch_settings_file()
{
    loop_->on_hang_up(
        [this]
        {
            // The change that the signal announces is reported only once.
            settings_file_.changed();
            reload_settings();
        });
    settings_timer_ = timers_.every(settings_check_interval,
                                    [this]
                                    {
                                        if (settings_file_.changed())
                                            reload_settings();
                                    });
}

void gateway::reload_settings()
{
    auto settings = cluster_.settings();
    base::error reason;
    auto const changes = settings_reload_.read(settings, reason);
    if (!changes)
    {
        metrics_.settings_rejected();
        runtime::log(events::settings_unreadable, {{"reason", reason.message}});
        return;
    }
    auto const lines_before = cluster_.settings().log_lines_per_second;
    cluster_.set_settings(timers_.now(), std::move(settings));
    // The changes themselves are logged under the higher one of two limits.
    if (cluster_.settings().log_lines_per_second > lines_before)
        configure_log(cluster_.settings());
    for (auto const& it : *changes)
        runtime::log(events::setting_changed, {{"setting", it.name},
                                               {"before", it.before},
                                               {"after", it.after},
                                               {"in_force", it.applied ? "true" : "false"}});
    if (cluster_.settings().log_lines_per_second < lines_before)
        configure_log(cluster_.settings());
}

void gateway::configure_log(gateway_settings const& settings)
{
    runtime::configure_log("savorymount-gateway",
                           static_cast<double>(settings.log_lines_per_second));
    request_log_.set_lines_per_second(settings.log_lines_per_second);
}

void gateway::follow_platform()
{
    platform_events callbacks;
    callbacks.deployment_changed = [this](configuration::deployment it)
    {
        apply_deployment(std::move(it));
    };
    callbacks.desired_version_changed = [this](std::string const& model, std::uint64_t version,
                                               std::optional<base::time_point> not_before)
    {
        auto const now = timers_.now();
        cluster_.observe_time(now);
        cluster_.set_desired_version(model, version, not_before);
        auto const newest = cluster_.desired_weights().newest_version(model);
        metrics_.desired_version_changed(model, newest);
        if (version < newest)
        {
            runtime::log(events::older_weights_named,
                         {{"model", model}, {"version", version}, {"newest", newest}});
            return;
        }
        runtime::log(events::weights_wanted,
                     {{"model", model},
                      {"version", version},
                      {"max_age_ms", not_before ? base::to_milliseconds(now - *not_before) : -1}});
        rollout_leader_.advance();
    };
    callbacks.upstream_listed = [this](membership::upstream_record it)
    {
        upstreams_known_ = true;
        cluster_.upstream_listed(timers_.now(), std::move(it));
    };
    callbacks.upstream_unlisted =
        [this](std::string const& id, std::optional<base::time_point> unreadable_at)
    {
        auto const now = timers_.now();
        cluster_.upstream_unlisted(now, id, unreadable_at);
        pool_.forget(id);
        auto const outage_age = unreadable_at ? base::to_milliseconds(now - *unreadable_at) : -1;
        runtime::log(events::upstream_unlisted,
                     {{"upstream", id}, {"unreadable_ms_ago", outage_age}});
    };
    callbacks.entry_invalid = [](std::string const& key, base::error const& reason)
    {
        runtime::log(events::log_record_ignored, {{"key", key}, {"reason", reason.message}});
    };
    callbacks.configuration_read = [this](base::time_point complete_until)
    {
        cluster_.configuration_read(complete_until);
    };
    callbacks.upstreams_read = [this](base::time_point complete_until)
    {
        streams_.upstreams_read(complete_until);
    };
    callbacks.upstreams_unreadable = [this](base::time_point sent_at)
    {
        streams_.upstreams_unreadable(sent_at);
    };
    callbacks.store_responded = [this]
    {
        store_responded();
    };
    callbacks.store_failed = [this](store_failure const& it)
    {
        store_failed(it);
    };
    callbacks.store_restored = [this](std::uint64_t era)
    {
        store_restored(era);
    };
    callbacks.store_read = [this](membership::store_update it)
    {
        peer_exchange_.send_store_update(std::move(it));
    };
    platform_.follow(std::move(callbacks), {[this] { return cluster_.upstream_poll_interval(); },
                                            [this]
                                            {
                                                return peer_exchange_.reads_store();
                                            }});
}

void gateway::store_responded()
{
    cluster_.store_responded(timers_.now());
    metrics_.store_responded();
    if (!std::exchange(store_available_, true))
        runtime::log(events::log_available);
}

void gateway::store_failed(store_failure const& failure)
{
    metrics_.store_failed();
    if (std::exchange(store_available_, false))
        runtime::log(events::log_unavailable, {{"reason", failure.reason.message}});
    runtime::log(events::store_read_failed, {{"topic", failure.topic},
                                             {"waited_ms", base::to_milliseconds(failure.waited)},
                                             {"failures", failure.failures},
                                             {"reason", failure.reason.message}});
}

void gateway::store_restored(std::uint64_t era)
{
    cluster_.store_restored(timers_.now());
    auto const version = cluster_.deployment() ? cluster_.deployment()->data().version : 0;
    runtime::log(events::store_restored, {{"era", era}, {"configuration", version}});
    // The announcement may be missing from the copy.
    announce_instance();
}

void gateway::announce_instance()
{
    auto const& settings = cluster_.settings();
    platform_.announce_instance(
        {settings.instance, settings.incarnation, settings.data_centre, to_string(peer_address_)},
        [this](append_outcome outcome)
        {
            if (outcome != append_outcome::accepted)
                announce_timer_ =
                    timers_.after(announce_retry_delay, [this] { announce_instance(); });
        });
}

void gateway::apply_deployment(configuration::deployment data)
{
    runtime::task_timer const timer("configuration");
    auto const limits = data.limits;
    auto const version = data.version;
    bool const needs_keys = data.needs_keys;
    auto const now = timers_.now();
    auto const known_until = cluster_.configuration_complete_until();
    if (!cluster_.apply_deployment(now, std::move(data)))
        return;
    server_.set_limits(limits);
    metrics_.configuration_adopted(version);
    runtime::log(events::configuration_adopted,
                 {{"version", version},
                  {"needs_keys", needs_keys ? "yes" : "no"},
                  {"max_age_ms", known_until ? base::to_milliseconds(now - *known_until) : -1}});
    follow_cache_store();
}

void gateway::follow_cache_store()
{
    auto const* const store = cluster_.deployment()->find_cache_store();
    if (store == nullptr || store->address == cache_store_address_)
        return;
    cache_store_address_ = store->address;
    cluster_.part_locations().clear_stored();
    cluster_.set_cache_store_reachable(false);
    cache_store_events callbacks;
    callbacks.part_stored = [this](std::string const& salt, std::string const& part)
    {
        cluster_.part_locations().record_stored(salt, part);
    };
    callbacks.part_evicted = [this](std::string const& salt, std::string const& part)
    {
        cluster_.part_locations().record_evicted(salt, part);
    };
    callbacks.cleared = [this]
    {
        cluster_.part_locations().clear_stored();
    };
    callbacks.reachability_changed = [this](bool reachable)
    {
        if (reachable != cluster_.cache_store_reachable())
            runtime::log(reachable ? events::cache_store_available
                                   : events::cache_store_unavailable,
                         {{"address", cache_store_address_}});
        cluster_.set_cache_store_reachable(reachable);
    };
    platform_.follow_cache_store(cache_store_address_, std::move(callbacks));
}

void gateway::handle_request(std::shared_ptr<runtime::inbound_connection> client,
                             runtime::http_request&& request)
{
    runtime::task_timer const timer("request");
    refusal refused;
    bool const has_memory = body_admission_.handle_body(request, refused);
    auto const it =
        std::make_shared<gateway_request>(context_, std::move(client), std::move(request));
    if (has_memory)
        it->start();
    else
        it->refuse(refused);
}

void gateway::request_ended(request_outcome const& it)
{
    metrics_.request_ended(it);
    request_log_.write(timers_.now(), it);
}

bool gateway::ready() const
{
    return cluster_.deployment() && upstreams_known_ && !draining_since_ &&
           !cluster_.started_on_outdated_configuration(timers_.now());
}

void gateway::handle_readiness_request(runtime::inbound_connection& client)
{
    client.respond(ready() ? 200 : 503, {{"Content-Type", "text/plain"}},
                   ready() ? "ready\n" : "not ready\n");
}

void gateway::handle_metrics_request(runtime::inbound_connection& client)
{
    client.respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                   metrics_.render(timers_.now()));
}

void gateway::start_draining()
{
    if (draining_since_)
        return;
    draining_since_ = timers_.now();
    context_.drain = make_drain_schedule();
    runtime::log(events::stopping, {{"busy_connections", server_.busy_connections()}});
    server_.drain();
    rollout_leader_.stop_competing();
    drain_timer_ = timers_.every(drain_check_interval, [this] { check_drained(); });
}

drain_schedule gateway::make_drain_schedule() const
{
    auto const grace_period = cluster_.settings().shutdown_grace_period;
    return {*draining_since_ + load_balancer_removal_delay,
            *draining_since_ + grace_period - shutdown_margin};
}

void gateway::check_drained()
{
    auto const now = timers_.now();
    // The grace period is a setting that may change meanwhile.
    context_.drain = make_drain_schedule();
    if (now < context_.drain->removed_at)
        return;
    server_.close_idle(new_connection_time);
    bool const done = server_.connections() == 0 && rollout_leader_.idle();
    if (done || now > context_.drain->ends_at)
        end_process();
}

void gateway::end_process()
{
    if (auto const cut = server_.unsent_responses(); cut > 0)
        runtime::log(events::answers_cut, {{"connections", cut}});
    context_.process_exiting = true;
    bool const interrupted = server_.interrupt_busy() > 0;
    peer_exchange_.send_shutdown_report();
    drain_timer_ = timers_.after(release_timeout, [this] { loop_->stop(); });
    rollout_leader_.release(
        [this, interrupted]
        {
            // The answers to interrupted requests are sent until the timer fires.
            if (!interrupted)
                loop_->stop();
        });
}

} // namespace savorymount::gateway
