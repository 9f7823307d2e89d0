#include <savorymount/agent/agent.hpp>
#include <savorymount/runtime/log_events.hpp>
#include <savorymount/runtime/plugin_registry.hpp>

#include <utility>

namespace savorymount::agent
{

std::unique_ptr<agent> agent::make(agent_settings settings, base::error& reason)
{
    auto owner = runtime::kernel::make(settings.kernel, reason);
    if (!owner)
        return nullptr;
    auto adapter = runtime::plugin_registry<runtime::upstream_adapter>::instance().make(
        settings.upstream_plugin, owner->loop(), settings.upstream_address, reason);
    if (!adapter)
        return nullptr;
    return std::make_unique<agent>(std::move(settings), std::move(owner), std::move(*adapter));
}

agent::agent(agent_settings settings, std::unique_ptr<runtime::kernel> owner,
             runtime::upstream_adapter adapter)
    : settings_(std::move(settings)), kernel_(std::move(owner)), adapter_(std::move(adapter)),
      monitor_(kernel_->timers(), adapter_), buckets_(*kernel_), claims_(*kernel_),
      requests_(*kernel_, settings_, adapter_, monitor_, buckets_, claims_)
{
    kernel_->set_peer_maker(
        [this](kj::Maybe<wire::Peer::Client> caller)
        {
            return wire::Peer::Client(
                kj::heap<agent_peer>(*kernel_, kj::mv(caller), requests_, buckets_, monitor_));
        });
    kernel_->add_status(
        [this](nlohmann::json& status)
        {
            if (!monitor_.healthy())
                status["degraded"].push_back("upstream does not answer");
            status["engine"] = monitor_.report().engine;
            status["running"] = requests_.running();
            status["waiting"] = requests_.waiting();
            status["buckets_owned"] = buckets_.owned();
        });
}

bool agent::start(base::error& reason)
{
    if (!kernel_->start(reason))
        return false;
    monitor_.start();
    runtime::log(runtime::log_events::started,
                 {{"instance", kernel_->settings().name()},
                  {"listen", runtime::to_string(kernel_->settings().listen)},
                  {"status", runtime::to_string(kernel_->settings().status_listen)},
                  {"upstream", runtime::to_string(settings_.upstream_address)}});
    return true;
}

} // namespace savorymount::agent
