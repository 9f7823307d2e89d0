#include <savorymount/gateway/gateway.hpp>
#include <savorymount/runtime/log_events.hpp>
#include <savorymount/runtime/plugin_registry.hpp>

#include <cstdlib>
#include <functional>
#include <utility>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;
namespace events = runtime::log_events;

// The balancer takes an instance out after two checks, one second apart; until then it sends new
// connections.
constexpr base::duration balancer_notice = 2800ms;
// Kept free before SIGKILL.
constexpr base::duration grace_margin = 700ms;
constexpr base::duration drain_check_interval = 50ms;
constexpr base::duration release_timeout = 200ms;
constexpr base::duration announce_retry = 300ms;
constexpr base::duration settings_check_interval = 1s;

std::string settings_path()
{
    char const* const path = std::getenv(runtime::settings_file_variable);
    return path == nullptr ? "" : path;
}

runtime::http_limits small_limits()
{
    runtime::http_limits out;
    out.max_header_bytes = std::size_t{8} * 1024;
    out.max_body_bytes = std::size_t{8} * 1024;
    return out;
}

} // namespace

std::unique_ptr<gateway> gateway::make(gateway_settings const& settings, base::error& reason)
{
    auto loop = std::make_unique<runtime::event_loop>();
    auto port = runtime::plugin_registry<platform_port>::instance().make(
        settings.platform_plugin, *loop, settings.store_address, reason);
    if (!port)
        return nullptr;
    return std::make_unique<gateway>(settings, std::move(loop), std::move(*port));
}

gateway::gateway(gateway_settings const& settings, std::unique_ptr<runtime::event_loop> loop,
                 platform_port port)
    : loop_(std::move(loop)), timers_(*loop_), port_(std::move(port)),
      random_(std::hash<std::string>()(settings.instance + settings.incarnation)),
      view_(settings, timers_.now()), metrics_(view_), request_log_(settings.log_lines_per_second),
      pool_(*loop_, timers_), flows_{timers_,
                                     pool_,
                                     view_,
                                     port_,
                                     random_,
                                     [this](request_outcome const& it)
                                     {
                                         request_ended(it);
                                     }},
      server_(*loop_, timers_,
              [this](auto client, runtime::http_request&& request)
              { handle(std::move(client), std::move(request)); }),
      ready_server_(*loop_, small_limits(), [this](auto it) { answer_readiness(it); }),
      metrics_server_(*loop_, small_limits(), [this](auto it) { answer_metrics(it); }),
      peers_(*loop_, timers_, view_,
             {[this](base::time_point now) { return duty_.loads(now); },
              [this](base::time_point now) { return duty_.held_offset(now); },
              [this](base::time_point now, std::uint64_t offset)
              {
                  duty_.told(now, offset);
              }}),
      duty_(timers_, view_, port_, random_,
            {[this] { peers_.tell_loads(); },
             [this](std::vector<member_record> const& it) { peers_.take_members(it); },
             [this](bool held)
             {
                 metrics_.duty_changed(held);
             }}),
      settings_file_(settings_path())
{
}

bool gateway::start(base::error& reason)
{
    auto const& settings = view_.settings();
    auto const http_port = server_.listen(settings.http_listen, reason);
    auto const ready_port =
        http_port ? ready_server_.listen(settings.ready_listen, reason) : std::nullopt;
    auto const metrics_port =
        ready_port ? metrics_server_.listen(settings.metrics_listen, reason) : std::nullopt;
    auto const peers = metrics_port ? peers_.start(reason) : std::nullopt;
    if (!peers)
        return false;
    peer_address_ = *peers;
    configure_log(settings);
    loop_->on_termination([this] { leave(); });
    watch_settings();
    follow_platform();
    announce();
    duty_.start();
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

void gateway::follow_settings(settings_source source, runtime::parsed_settings const& in_force)
{
    settings_reload_.emplace(std::move(source), in_force);
}

void gateway::watch_settings()
{
    loop_->on_hang_up([this] { reload_settings(); });
    settings_timer_ = timers_.every(settings_check_interval,
                                    [this]
                                    {
                                        if (settings_file_.changed())
                                            reload_settings();
                                    });
}

void gateway::reload_settings()
{
    if (!settings_reload_)
        return;
    auto settings = view_.settings();
    base::error reason;
    auto const changes = settings_reload_->read(settings, reason);
    if (!changes)
    {
        runtime::log(events::settings_unreadable, {{"reason", reason.message}});
        return;
    }
    if (settings.log_lines_per_second != view_.settings().log_lines_per_second)
        configure_log(settings);
    view_.set_settings(timers_.now(), std::move(settings));
    for (auto const& it : *changes)
        runtime::log(events::setting_changed, {{"setting", it.name},
                                               {"before", it.before},
                                               {"after", it.after},
                                               {"in_force", it.in_force ? "true" : "false"}});
}

void gateway::configure_log(gateway_settings const& settings)
{
    runtime::configure_log("savorymount-gateway",
                           static_cast<double>(settings.log_lines_per_second));
    request_log_.set_lines_per_second(settings.log_lines_per_second);
}

void gateway::follow_platform()
{
    platform_news news;
    news.deployment = [this](configuration::deployment it)
    {
        adopt(std::move(it));
    };
    news.weights_named = [this](std::string const& model, std::uint64_t version)
    {
        view_.weights_named(timers_.now(), model, version);
        metrics_.weights_named(model, version);
        runtime::log(events::weights_wanted, {{"model", model}, {"version", version}});
        duty_.advance();
    };
    news.upstream_listed = [this](membership::upstream_record it)
    {
        upstreams_known_ = true;
        view_.upstream_listed(timers_.now(), std::move(it));
    };
    news.upstream_unlisted = [this](std::string const& id)
    {
        view_.upstream_unlisted(timers_.now(), id);
        pool_.forget(id);
        runtime::log(events::upstream_unlisted, {{"upstream", id}});
    };
    news.unreadable = [](std::string const& key, base::error const& reason)
    {
        runtime::log(events::log_record_ignored, {{"key", key}, {"reason", reason.message}});
    };
    news.store_answered = [this]
    {
        store_answered();
    };
    news.store_failed = [this](base::error const& it)
    {
        store_failed(it);
    };
    port_.follow(std::move(news), [this] { return view_.list_interval(); });
}

void gateway::store_answered()
{
    view_.store_answered(timers_.now());
    metrics_.store_answered();
    if (!std::exchange(store_available_, true))
        runtime::log(events::log_available);
}

void gateway::store_failed(base::error const& reason)
{
    view_.store_failed(timers_.now());
    metrics_.store_failed();
    if (std::exchange(store_available_, false))
        runtime::log(events::log_unavailable, {{"reason", reason.message}});
}

void gateway::announce()
{
    auto const& settings = view_.settings();
    port_.announce(
        {settings.instance, settings.incarnation, settings.data_centre, to_string(peer_address_)},
        [this](append_outcome outcome)
        {
            if (outcome != append_outcome::accepted)
                announce_timer_ = timers_.after(announce_retry, [this] { announce(); });
        });
}

void gateway::adopt(configuration::deployment data)
{
    auto const limits = data.limits;
    auto const version = data.version;
    if (!view_.adopt(timers_.now(), std::move(data)))
        return;
    server_.set_limits(limits);
    metrics_.configuration_adopted(version);
    runtime::log(events::configuration_adopted, {{"version", version}});
    follow_cache_store();
}

void gateway::follow_cache_store()
{
    auto const* const store = view_.deployment()->find_cache_store();
    if (store == nullptr || store->address == cache_store_address_)
        return;
    cache_store_address_ = store->address;
    view_.parts().clear_stored();
    view_.cache_store_answers(false);
    cache_news news;
    news.stored = [this](std::string const& salt, std::string const& part)
    {
        view_.parts().record_stored(salt, part);
    };
    news.dropped = [this](std::string const& salt, std::string const& part)
    {
        view_.parts().record_evicted(salt, part);
    };
    news.emptied = [this]
    {
        view_.parts().clear_stored();
    };
    news.reachable = [this](bool answers)
    {
        if (answers != view_.cache_store_answers())
            runtime::log(answers ? events::cache_store_available : events::cache_store_unavailable,
                         {{"address", cache_store_address_}});
        view_.cache_store_answers(answers);
    };
    port_.follow_cache(cache_store_address_, std::move(news));
}

void gateway::handle(std::shared_ptr<runtime::inbound_connection> client,
                     runtime::http_request&& request)
{
    std::make_shared<request_flow>(flows_, std::move(client), std::move(request))->start();
}

void gateway::request_ended(request_outcome const& it)
{
    metrics_.request_ended(it);
    request_log_.write(timers_.now(), it);
}

bool gateway::ready() const
{
    return view_.deployment() && upstreams_known_ && !leaving_since_;
}

void gateway::answer_readiness(std::shared_ptr<runtime::http_exchange> const& exchange)
{
    exchange->respond(ready() ? 200 : 503, {{"Content-Type", "text/plain"}},
                      ready() ? "ready\n" : "not ready\n");
}

void gateway::answer_metrics(std::shared_ptr<runtime::http_exchange> const& exchange)
{
    exchange->respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                      metrics_.render(timers_.now()));
}

void gateway::leave()
{
    if (leaving_since_)
        return;
    leaving_since_ = timers_.now();
    runtime::log(events::stopping, {{"busy_connections", server_.busy_connections()}});
    server_.drain();
    duty_.leave();
    drain_timer_ = timers_.every(drain_check_interval, [this] { check_drained(); });
}

void gateway::check_drained()
{
    auto const since = timers_.now() - *leaving_since_;
    if (since < balancer_notice)
        return;
    if (!std::exchange(idle_closed_, true))
        server_.close_idle();
    bool const time_is_up = since > view_.settings().grace - grace_margin;
    bool const done = server_.connections() == 0 && duty_.idle();
    if (!done && !time_is_up)
        return;
    flows_.process_ends = true;
    peers_.tell_leaving();
    drain_timer_ = timers_.after(release_timeout, [this] { loop_->stop(); });
    duty_.release([this] { loop_->stop(); });
}

} // namespace savorymount::gateway
