#include "utilities/savorymountctl/users_platform_status.hpp"

#include "utilities/savorymountctl/text_table.hpp"
#include <savorymount/runtime/plugin_registry.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <utility>

namespace savorymount::control
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration read_limit = 5s;
// Without news for this long everything that the store holds has been read.
constexpr base::duration quiet_time = 500ms;
constexpr base::duration check_interval = 20ms;
constexpr base::duration list_interval = 100ms;

/// Follows the store until nothing new comes.
class store_reader
{
public:
    store_reader(runtime::event_loop& loop, gateway::platform_adapter port)
        : loop_(loop), timers_(loop), port_(std::move(port)), started_(timers_.now()),
          news_at_(started_)
    {
    }

    std::optional<users_platform_status> read(base::error& reason)
    {
        port_.follow(make_news(), {[] { return list_interval; }, nullptr});
        port_.read_membership(
            [this](std::optional<gateway::membership_page> page)
            {
                if (page)
                    status_.duties = std::move(*page);
                duties_read_ = page.has_value();
            });
        auto const timer = timers_.every(check_interval, [this] { check(); });
        loop_.run();
        if (complete())
            return std::move(status_);
        reason = {base::error_kind::unavailable,
                  "the store does not answer; check --store-address: " + last_failure_};
        return std::nullopt;
    }

private:
    gateway::platform_events make_news()
    {
        gateway::platform_events out;
        out.deployment_changed = [this](configuration::deployment it)
        {
            status_.deployment = std::move(it);
            noted();
        };
        out.desired_version_changed =
            [this](std::string const& model, std::uint64_t version, std::optional<base::time_point>)
        {
            status_.weights[model] = version;
            noted();
        };
        out.upstream_listed = [this](membership::upstream_record it)
        {
            auto const id = it.id;
            status_.upstreams[id] = std::move(it);
            noted();
        };
        out.upstream_unlisted = [this](std::string const& id, std::optional<base::time_point>)
        {
            status_.upstreams.erase(id);
            noted();
        };
        out.entry_invalid = [this](std::string const& key, base::error const& why)
        {
            last_failure_ = key + ": " + why.message;
        };
        out.configuration_read = [](base::time_point) {
        };
        out.store_responded = [] {
        };
        out.store_failed = [this](gateway::store_failure const& it)
        {
            last_failure_ = it.reason.message;
        };
        return out;
    }

    void noted() { news_at_ = timers_.now(); }
    bool complete() const { return duties_read_ && status_.deployment.has_value(); }

    void check()
    {
        auto const now = timers_.now();
        bool const done = complete() && now - news_at_ > quiet_time;
        if (done || now - started_ > read_limit)
            loop_.stop();
    }

    runtime::event_loop& loop_;
    runtime::timer_service timers_;
    gateway::platform_adapter port_;
    users_platform_status status_;
    bool duties_read_ = false;
    std::string last_failure_;
    base::time_point started_;
    base::time_point news_at_;
};

std::string weights_text(std::map<std::string, std::uint64_t> const& weights)
{
    std::string out;
    for (auto const& [model, version] : weights)
        out += (out.empty() ? "" : " ") + model + ":" + std::to_string(version);
    return out;
}

std::string upstream_table(users_platform_status const& it)
{
    text_table out({"UPSTREAM", "SERVICE", "DATA CENTRE", "ADDRESS", "STATE", "SLOTS", "WEIGHTS"});
    for (auto const& [id, upstream] : it.upstreams)
        out.add({id, upstream.service, upstream.data_centre, upstream.address,
                 upstream.draining ? "leaving" : "ready", std::to_string(upstream.slots),
                 weights_text(upstream.weights)});
    return out.text();
}

std::string member_table(users_platform_status const& it)
{
    text_table out({"INSTANCE", "DATA CENTRE", "DATAGRAMS", "INCARNATION"});
    for (auto const& member : it.duties.members)
        out.add({member.instance, member.data_centre, member.address, member.incarnation});
    return out.text();
}

std::string duty_text(users_platform_status const& it)
{
    if (!it.duties.lease)
        return "nobody has held it yet";
    auto const& record = it.duties.lease->record;
    return (record.released ? "released by " : "last renewed by ") + record.holder + "#" +
           record.incarnation + " with fencing token " + std::to_string(record.fencing_token);
}

} // namespace

std::optional<users_platform_status> read_users_platform(runtime::event_loop& loop,
                                                         std::string const& plugin,
                                                         runtime::network_address const& store,
                                                         base::error& reason)
{
    auto port = runtime::plugin_registry<gateway::platform_adapter>::instance().make(plugin, loop,
                                                                                     store, reason);
    if (!port)
        return std::nullopt;
    return store_reader(loop, std::move(*port)).read(reason);
}

std::string to_text(users_platform_status const& it)
{
    auto const& data = *it.deployment;
    std::string out = "Configuration version " + std::to_string(data.version) + ": " +
                      std::to_string(data.routes.size()) + " routes, " +
                      std::to_string(data.services.size()) + " services, " +
                      std::to_string(data.workspaces.size()) + " workspaces\n";
    out += "Weights named: " + printable(weights_text(it.weights)) + "\n";
    out += "Duty to order weights: " + printable(duty_text(it)) + "\n\n";
    return out + upstream_table(it) + "\n" + member_table(it);
}

} // namespace savorymount::control
