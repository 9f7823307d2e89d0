#include <savorymount/runtime/kernel.hpp>
#include <savorymount/runtime/log_events.hpp>
#include <savorymount/runtime/plugin_registry.hpp>

#include <utility>

namespace savorymount::runtime
{
namespace
{

using namespace std::chrono_literals;

// A leaving process stays up for two heartbeats, so that every peer hears of it.
constexpr base::duration leaving_announcement = 2s;
constexpr base::duration drain_check_interval = 100ms;

membership::instance to_instance(instance_record const& record)
{
    auto const name = membership::parse_instance_name(record.id);
    return {.id = name.id,
            .incarnation = name.incarnation,
            .role = record.role,
            .address = record.address,
            .data_centre = record.data_centre,
            .group = record.group,
            .leaving = record.state == "leaving"};
}

} // namespace

std::unique_ptr<kernel> kernel::make(kernel_settings settings, base::error& reason)
{
    auto loop = std::make_unique<event_loop>();
    auto const log = plugin_registry<platform_log>::instance().make(settings.log_plugin, *loop,
                                                                    settings.log_address, reason);
    if (!log)
        return nullptr;
    auto const list = plugin_registry<instance_list>::instance().make(
        settings.list_plugin, *loop, settings.list_address, reason);
    if (!list)
        return nullptr;
    return std::make_unique<kernel>(std::move(settings), std::move(loop), *log, *list);
}

kernel::kernel(kernel_settings settings, std::unique_ptr<event_loop> loop, platform_log log,
               instance_list list)
    : settings_(std::move(settings)), loop_(std::move(loop)), timers_(*loop_),
      log_(timers_, std::move(log)), list_(timers_, std::move(list)),
      configuration_(*loop_, timers_, log_, list_, settings_.name(), settings_.log_retention),
      shutdown_(leaving_announcement),
      peers_(*loop_, timers_, [this](std::string const& name) { return peer_options(name); }),
      internal_server_(
          *loop_, timers_, settings_.shared_secret,
          [this](wire::Context::Reader remote, wire::Peer::Client caller)
          {
              read_context(remote, caller);
              return make_peer_(kj::mv(caller));
          },
          [this](wire::Context::Builder context) { write_context(context); }),
      status_server_(*loop_, http_limits{},
                     [this](std::shared_ptr<http_exchange> const& exchange)
                     { handle_status(exchange); })
{
    list_.on_list([this](std::vector<instance_record> const& list_now) { take_list(list_now); });
    metrics_.gauge("savorymount_configuration_version", "Configuration version in force here.")
        .set_source([this] { return static_cast<double>(configuration_.version()); });
    metrics_.gauge("savorymount_peers", "Usable connections to other instances.")
        .set_source([this] { return static_cast<double>(peers_.usable()); });
}

peer_connection_options kernel::peer_options(std::string const& name)
{
    peer_connection_options out;
    out.secret = settings_.shared_secret;
    out.write_context = [this](wire::Context::Builder context)
    {
        write_context(context);
    };
    out.local_peer = [this]
    {
        return make_peer_(nullptr);
    };
    out.on_heartbeat = [this, name](wire::Context::Reader context, wire::LoadReport::Reader load)
    {
        auto* const connection = peers_.find(name);
        if (connection == nullptr)
            return;
        read_context(context, connection->peer());
        for (auto const& it : heartbeat_hooks_)
            it(name, context, load);
    };
    out.on_open = [] {
    };
    out.on_lost = [this, name]
    {
        directory_.mark_silent(membership::parse_instance_name(name));
    };
    return out;
}

void kernel::write_context(wire::Context::Builder context)
{
    context.setInstance(settings_.name());
    context.setVersion(configuration_.version());
    context.setLeaving(!shutdown_.accepting());
}

void kernel::read_context(wire::Context::Reader context, wire::Peer::Client peer)
{
    std::string const name = context.getInstance();
    directory_.apply_message(membership::parse_instance_name(name), context.getLeaving(), now());
    configuration_.observe(context.getVersion(), kj::mv(peer));
}

bool kernel::start(base::error& reason)
{
    auto const port = internal_server_.listen(settings_.listen, reason);
    if (!port)
        return false;
    settings_.listen.port = *port;
    auto const status_port = status_server_.listen(settings_.status_listen, reason);
    if (!status_port)
        return false;
    settings_.status_listen.port = *status_port;
    log_.start();
    list_.start();
    loop_->on_termination([this] { leave(); });
    return true;
}

void kernel::run()
{
    loop_->run();
}

void kernel::handle_status(std::shared_ptr<http_exchange> const& exchange)
{
    auto const path = exchange->target().substr(0, exchange->target().find('?'));
    if (exchange->method() != "GET")
    {
        exchange->respond(405, {{"allow", "GET"}}, "only GET is supported here\n");
        return;
    }
    http_headers const text{{"content-type", "text/plain; version=0.0.4"}};
    // An entry without any agent could only refuse, so the balancer should not choose it.
    bool const connected = settings_.role != "entry" || peers_.usable() > 0;
    bool const ready = configuration_.ready() && shutdown_.accepting() && connected;
    if (path == "/status")
        exchange->respond(200, {{"content-type", "application/json"}}, status().dump(2) + "\n");
    else if (path == "/metrics")
        exchange->respond(200, text, metrics_.render());
    else if (path == "/healthz")
        exchange->respond(200, text, "ok\n");
    else if (path == "/readyz")
        exchange->respond(ready ? 200 : 503, text, ready ? "ready\n" : "not ready\n");
    else
        exchange->respond(404, text, "use /status, /metrics, /healthz or /readyz\n");
}

nlohmann::json kernel::status()
{
    nlohmann::json degraded = nlohmann::json::array();
    if (!log_.available())
        degraded.push_back("log unavailable");
    if (!list_.available())
        degraded.push_back("instance list unavailable");
    if (!configuration_.ready())
        degraded.push_back("no configuration");
    nlohmann::json out{{"instance", settings_.name()},
                       {"role", settings_.role},
                       {"data_centre", settings_.data_centre},
                       {"group", settings_.group},
                       {"version", configuration_.version()},
                       {"peers", peers_.usable()},
                       {"state", shutdown_.accepting() ? "live" : "leaving"},
                       {"degraded", degraded}};
    for (auto const& it : status_hooks_)
        it(out);
    return out;
}

void kernel::take_list(std::vector<instance_record> const& list)
{
    std::vector<membership::instance> instances;
    instances.reserve(list.size());
    for (auto const& it : list)
        instances.push_back(to_instance(it));
    directory_.apply_list(instances, now());
}

void kernel::leave()
{
    if (!shutdown_.accepting())
        return;
    runtime::log(log_events::stopping, {{"requests", shutdown_.requests()}});
    shutdown_.begin_shutdown(now());
    for (auto const& it : leave_hooks_)
        it();
    drain_timer_ = timers_.every(drain_check_interval, [this] { check_drained(); });
}

void kernel::check_drained()
{
    if (shutdown_.phase(now()) != membership::shutdown_phase::drained)
        return;
    runtime::log(log_events::stopped);
    loop_->stop();
}

} // namespace savorymount::runtime
