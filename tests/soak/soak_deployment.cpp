#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <tests/soak/promise_checker.hpp>
#include <tests/soak/soak_deployment.hpp>
#include <tests/system/support/gateway_arguments.hpp>
#include <tests/system/support/output_line.hpp>
#include <utility>

namespace savorymount::soak
{
namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

constexpr char const* grace_seconds = "8";
constexpr base::duration grace = 8s;
constexpr char const* quota_window_seconds = "8";
// A loaded machine may start processes for a while before the loop sends the call.
constexpr base::duration control_timeout = 60s;
constexpr base::duration readiness_interval = 200ms;
constexpr unsigned checks_before_unready = 2;
// The entry of an upstream that no longer renews it lapses after this time.
constexpr base::duration entry_lifetime = 1500ms;
// An upstream that leaves gets no new requests after this time.
constexpr base::duration drain_time = 3s;
constexpr base::duration crash_downtime = 2s;
// Added to the length of a crashing part, so that it is still sent some seconds after its fifth
// crash, for which the engines have to come back first.
constexpr base::duration additional_crash_time = 6s;
// A disturbance that has no length of its own counts for so long.
constexpr base::duration longest_effect = 2s;
// The store comes back from a copy that is so much older than its outage.
constexpr base::duration copy_age = 3s;
// From then until operators and upstreams write again.
constexpr base::duration rewrite_time = 500ms;
constexpr double named_requests_per_second = 2;
// Added to the length of a limit, so that it is judged for a while.
constexpr base::duration additional_limit_time = 8s;
// Added to the time in which only answers say that an upstream leaves, so that it is judged.
constexpr base::duration additional_leaving_time = 3s;
constexpr base::duration rejection_time = 3s;
constexpr unsigned streams_closed_inside_event = 4;
constexpr std::int64_t link_delay_ms = 150;
constexpr std::int64_t store_link_delay_ms = 300;

runtime::network_address local(std::uint16_t port)
{
    return {"127.0.0.1", port};
}

/// The value behind `key=`; empty when there is none.
std::string field(std::string const& line, std::string const& key)
{
    return tests::value_in_line(line, key).value_or("");
}

std::uint64_t number_field(std::string const& line, std::string const& key)
{
    return std::stoull(field(line, key));
}

base::time_point time_field(std::string const& line)
{
    return base::time_point(base::duration(std::stoll(field(line, "at"))));
}

} // namespace

soak_deployment::soak_deployment(runtime::event_loop& loop, runtime::timer_service& timers,
                                 deployment_size const& size)
    : timers_(timers), client_(loop, timers),
      platform_(std::make_unique<tests::process>(
          "savorymount-users-platform-stand-in",
          std::vector<std::string>{"--engines", "0", "--desks", "0"})),
      store_(local(tests::port_of(platform_->wait_for_field("listening", "port")))),
      gateways_(size.gateways), upstreams_(size.upstreams())
{
    for (std::size_t i = 0; i < upstreams_.size(); ++i)
    {
        upstreams_[i].engine = i < size.engines;
        start_upstream(i);
    }
    for (std::size_t i = 0; i < gateways_.size(); ++i)
    {
        gateways_[i].store_link = start_relay(store_.port);
        start_gateway(i, true);
    }
    readiness_timer_ = timers_.every(readiness_interval, [this] { check_readiness(); });
}

soak_deployment::relay soak_deployment::start_relay(std::uint16_t target)
{
    relay out;
    out.program = std::make_unique<tests::process>(
        "savorymount-fault-relay",
        std::vector<std::string>{"--target", "127.0.0.1:" + std::to_string(target)});
    out.control = local(tests::port_of(out.program->wait_for_field("listening", "port")));
    out.port = tests::port_of(out.program->wait_for_field("relaying", "port"));
    return out;
}

void soak_deployment::start_gateway(std::size_t index, bool first)
{
    auto& it = gateways_[index];
    it.program = std::make_unique<tests::process>(
        "savorymount-gateway",
        tests::gateway_arguments("gateway-" + std::to_string(index),
                                 to_string(local(it.store_link.port)), first,
                                 {"--grace-s", grace_seconds, "--quota-window-s",
                                  quota_window_seconds, "--log-lines", "2000"}));
    it.http = local(tests::port_of(it.program->wait_for_field("name=started", "http")));
    it.ready = local(tests::port_of(it.program->wait_for_field("name=started", "ready")));
    it.is_ready = false;
    it.ending = false;
}

std::string soak_deployment::software_of(upstream const& it)
{
    return "v" + std::to_string(it.software);
}

void soak_deployment::start_upstream(std::size_t index)
{
    auto& it = upstreams_[index];
    it.id = std::string(it.engine ? "engine-" : "desk-") + std::to_string(index) + "." +
            std::to_string(it.starts++);
    it.program = std::make_unique<tests::process>(
        "savorymount-users-upstream-stand-in",
        std::vector<std::string>{"--id", it.id, "--kind", it.engine ? "engine" : "desk",
                                 "--serve-port", std::to_string(it.port), "--software",
                                 software_of(it)});
    it.control = local(tests::port_of(it.program->wait_for_field("listening", "port")));
    it.port = tests::port_of(it.program->wait_for_field("serving", "port"));
    it.crash_restarts = 0;
    it.listed_weights = 1;
    it.leaving = false;
    if (!it.link.program)
        it.link = start_relay(it.port);
    list(it, "ready");
}

void soak_deployment::list(upstream const& it, std::string const& state)
{
    json models = json::array();
    if (it.engine)
        models.push_back({{"name", "crew"}, {"version", it.listed_weights}});
    json const entry{{"service", it.engine ? "pool" : "desk"},
                     {"address", to_string(local(it.link.port))},
                     {"zone", "liege"},
                     {"version", software_of(it)},
                     {"slots", 8},
                     {"coldLeftMs", 0},
                     {"state", state},
                     {"models", models},
                     {"sequence", 1},
                     {"born", it.starts}};
    control(store_, {{"entry", {{"id", it.id}, {"value", entry.dump()}}}});
}

void soak_deployment::unlist(std::string const& id)
{
    control(store_, {{"entry", {{"id", id}, {"value", ""}}}});
}

void soak_deployment::configure()
{
    json keys = json::array({"key-a"});
    if (second_key_granted_)
        keys.push_back(second_key());
    control(store_, {{"configuration", ++configuration_}, {"keys", keys}});
}

void soak_deployment::name_weights()
{
    control(store_, {{"weights", ++weights_}});
    history_.weights.push_back({weights_, timers_.now()});
}

void soak_deployment::control(runtime::network_address const& address, json const& body)
{
    client_.fetch({address, "POST", "/control", {}, body.dump(), control_timeout},
                  [body](std::optional<runtime::http_answer> answer, base::error const& reason)
                  {
                      if (!answer || answer->status != 200)
                          throw std::runtime_error("a stand-in did not take " + body.dump() + ": " +
                                                   reason.message);
                  });
}

void soak_deployment::check_readiness()
{
    relist_engines();
    for (std::size_t i = 0; i < gateways_.size(); ++i)
        client_.fetch({gateways_[i].ready, "GET", "/", {}, "", readiness_interval},
                      [this, i](std::optional<runtime::http_answer> answer, base::error const&)
                      {
                          auto& it = gateways_[i];
                          bool const good = answer && answer->status == 200;
                          it.failed_checks = good ? 0 : it.failed_checks + 1;
                          if (good || it.failed_checks >= checks_before_unready)
                              it.is_ready = good;
                      });
}

std::optional<reachable_gateway> soak_deployment::ready_gateway(std::uint64_t number) const
{
    for (std::size_t i = 0; i < gateways_.size(); ++i)
    {
        auto const index = (number + i) % gateways_.size();
        if (gateways_[index].is_ready)
            return reachable_gateway{index, gateways_[index].http};
    }
    return std::nullopt;
}

bool soak_deployment::all_ready() const
{
    return std::all_of(gateways_.begin(), gateways_.end(),
                       [](gateway const& it) { return it.is_ready; });
}

void soak_deployment::later(base::duration delay, std::function<void()> mend)
{
    ++mending_;
    auto const timer = std::make_shared<runtime::timer_service::subscription>();
    *timer = timers_.after(delay,
                           [this, timer, mend = std::move(mend)]
                           {
                               auto const ended = std::move(*timer);
                               --mending_;
                               mend();
                           });
}

void soak_deployment::disturbed(base::duration length)
{
    history_.disturbances.push_back({timers_.now(), timers_.now() + length});
}

void soak_deployment::apply(planned_fault const& step)
{
    switch (step.kind)
    {
    case fault_kind::kill_gateway:
        return kill_gateway(step.target, step.length);
    case fault_kind::pause_gateway:
        gateway_outage(step.length);
        return pause(*gateways_[step.target].program, gateways_[step.target].busy, step.length);
    case fault_kind::stop_gateway:
        return stop_gateway(step.target);
    case fault_kind::hang_up_gateway:
        return hang_up_gateway(step.target);
    case fault_kind::kill_upstream:
        return kill_upstream(step.target, step.length);
    case fault_kind::pause_upstream:
        return pause(*upstreams_[step.target].program, upstreams_[step.target].busy, step.length);
    case fault_kind::drain_upstream:
        return drain_upstream(step.target);
    case fault_kind::delay_upstream_link:
        return disturb_upstream_link(step.target, {{"delay_ms", link_delay_ms}}, step.length);
    case fault_kind::reset_upstream_link:
        return disturb_upstream_link(step.target, {{"mode", "cut"}}, step.length);
    case fault_kind::silence_upstream_link:
        return disturb_upstream_link(step.target, {{"mode", "blackhole"}}, step.length);
    case fault_kind::mute_upstream_link:
        return disturb_upstream_link(step.target, {{"mode", "mute_answers"}}, step.length);
    case fault_kind::cut_store_link:
        return disturb_store_link(step.target, {{"mode", "cut"}}, step.length);
    case fault_kind::silence_store_link:
        return disturb_store_link(step.target, {{"mode", "blackhole"}}, step.length);
    case fault_kind::delay_store_link:
        return disturb_store_link(step.target, {{"delay_ms", store_link_delay_ms}}, step.length);
    case fault_kind::refuse_store:
        return disturb_store("refuse", step.length);
    case fault_kind::lose_appends:
        return disturb_store("lose_appends", step.length);
    case fault_kind::compact_store:
        return control(store_, {{"compact", true}});
    case fault_kind::new_configuration:
        return configure();
    case fault_kind::withdraw_key:
        second_key_granted_ = !second_key_granted_;
        history_.key_changes.push_back({second_key_granted_, timers_.now()});
        return configure();
    case fault_kind::name_weights:
        return name_weights();
    case fault_kind::end_answers_with_connection:
        return end_answers_with_connection(step.target, step.length);
    case fault_kind::close_inside_event:
        return close_inside_event(step.target);
    case fault_kind::crash_on_part:
        return crash_on_part(step.length + additional_crash_time);
    case fault_kind::restore_store:
        return restore_store(step.length);
    case fault_kind::name_limit:
        return name_limit(step.target, step.length + additional_limit_time);
    case fault_kind::say_leaving:
        return say_leaving(step.target, step.length + additional_leaving_time);
    case fault_kind::reject_for_now:
        return reject_for_now(step.target, step.length);
    case fault_kind::new_software:
        return replace_software(step.target);
    case fault_kind::kill_all_gateways:
        return kill_all_gateways(step.length);
    case fault_kind::upgrade_during_pause:
        return upgrade_during_pause(step.target, step.length);
    }
}

void soak_deployment::kill_gateway(std::size_t index, base::duration length)
{
    auto& it = gateways_[index];
    if (std::exchange(it.busy, true))
        return;
    it.program->send_signal(SIGKILL);
    it.program->wait();
    it.is_ready = false;
    ended_outputs_.emplace_back("gateway-" + std::to_string(index), it.program->output());
    disturbed(length);
    gateway_outage(length);
    later(length,
          [this, index]
          {
              start_gateway(index, false);
              gateways_[index].busy = false;
          });
}

void soak_deployment::pause(tests::process& program, bool& busy, base::duration length)
{
    if (std::exchange(busy, true))
        return;
    program.send_signal(SIGSTOP);
    disturbed(length);
    // The program is not replaced while it is busy.
    later(length,
          [&program, &busy]
          {
              program.send_signal(SIGCONT);
              busy = false;
          });
}

void soak_deployment::hang_up_gateway(std::size_t index)
{
    if (!gateways_[index].busy)
        gateways_[index].program->send_signal(SIGHUP);
}

void soak_deployment::stop_gateway(std::size_t index)
{
    // One at a time, as operators do it.
    if (!all_ready() || std::exchange(gateways_[index].busy, true))
        return;
    gateways_[index].ending = true;
    gateway_outage(grace);
    gateways_[index].program->send_signal(SIGTERM);
    await_exit(index, timers_.now());
}

void soak_deployment::await_exit(std::size_t index, base::time_point since)
{
    constexpr base::duration check_interval = 50ms;
    later(check_interval,
          [this, index, since]
          {
              auto& it = gateways_[index];
              bool const overdue = timers_.now() - since > grace;
              if (it.program->running() && !overdue)
              {
                  await_exit(index, since);
                  return;
              }
              if (overdue)
                  it.program->send_signal(SIGKILL);
              auto const code = it.program->wait();
              if (code != 0)
                  history_.exits.push_back({"gateway-" + std::to_string(index), code});
              ended_outputs_.emplace_back("gateway-" + std::to_string(index), it.program->output());
              start_gateway(index, false);
              it.busy = false;
          });
}

void soak_deployment::kill_upstream(std::size_t index, base::duration length)
{
    auto& it = upstreams_[index];
    if (std::exchange(it.busy, true))
        return;
    it.program->send_signal(SIGKILL);
    it.program->wait();
    it.leaving = true;
    ended_outputs_.emplace_back(it.id, it.program->output());
    disturbed(std::max(length, entry_lifetime));
    later(entry_lifetime, [this, id = it.id] { unlist(id); });
    later(length,
          [this, index]
          {
              start_upstream(index);
              upstreams_[index].busy = false;
          });
}

void soak_deployment::drain_upstream(std::size_t index)
{
    auto& it = upstreams_[index];
    if (std::exchange(it.busy, true))
        return;
    it.leaving = true;
    list(it, "draining");
    begin_service_gap(it.engine);
    later(drain_time, [this, index] { finish_drain(index); });
}

void soak_deployment::finish_drain(std::size_t index)
{
    auto& it = upstreams_[index];
    unlist(it.id);
    it.program->send_signal(SIGTERM);
    it.program->wait();
    ended_outputs_.emplace_back(it.id, it.program->output());
    end_service_gap(it.engine);
    start_upstream(index);
    it.busy = false;
}

void soak_deployment::begin_service_gap(bool engines)
{
    bool const is_gap =
        std::all_of(upstreams_.begin(), upstreams_.end(),
                    [engines](upstream const& it) { return it.engine != engines || it.leaving; });
    if (is_gap)
        service_gap_since_.try_emplace(engines, timers_.now());
}

void soak_deployment::end_service_gap(bool engines)
{
    auto const it = service_gap_since_.find(engines);
    if (it == service_gap_since_.end())
        return;
    history_.service_gaps.push_back(
        {engines ? call_kind::stream : call_kind::booking, it->second, timers_.now()});
    service_gap_since_.erase(it);
}

void soak_deployment::end_answers_with_connection(std::size_t index, base::duration length)
{
    auto& it = upstreams_[index];
    if (std::exchange(it.busy, true))
        return;
    control(it.control, {{"ends_with_connection", true}});
    later(length,
          [this, index]
          {
              control(upstreams_[index].control, {{"ends_with_connection", false}});
              upstreams_[index].busy = false;
          });
}

void soak_deployment::close_inside_event(std::size_t index)
{
    auto& it = upstreams_[index];
    if (std::exchange(it.busy, true))
        return;
    control(it.control, {{"close_inside_event", streams_closed_inside_event}});
    disturbed(longest_effect);
    later(longest_effect,
          [this, index]
          {
              control(upstreams_[index].control, {{"close_inside_event", 0}});
              upstreams_[index].busy = false;
          });
}

void soak_deployment::crash_on_part(base::duration length)
{
    if (std::exchange(crashing_, true))
        return;
    std::vector<std::size_t> engines;
    for (std::size_t i = 0; i < upstreams_.size(); ++i)
    {
        auto& it = upstreams_[i];
        if (!it.engine || std::exchange(it.busy, true))
            continue;
        engines.push_back(i);
        control(it.control,
                {{"crash_on_part", crashing_part()}, {"crash_ms", crash_downtime / 1ms}});
    }
    disturbed(length + crash_downtime);
    later(length,
          [this, engines]
          {
              for (auto const i : engines)
                  control(upstreams_[i].control, {{"crash_on_part", ""}, {"crash_ms", 0}});
          });
    // The last crash may come at the end of that time.
    later(length + crash_downtime + 1s,
          [this, engines]
          {
              relist_engines();
              for (auto const i : engines)
                  upstreams_[i].busy = false;
              crashing_ = false;
          });
}

void soak_deployment::relist_engines()
{
    for (auto& it : upstreams_)
    {
        if (!it.engine)
            continue;
        relist_restarts(it);
        relist_loaded_weights(it);
    }
}

void soak_deployment::relist_restarts(upstream& it)
{
    std::istringstream lines(it.program->output());
    unsigned restarts = 0;
    for (std::string line; std::getline(lines, line);)
    {
        if (!line.starts_with("restart ") || ++restarts <= it.crash_restarts)
            continue;
        unlist(it.id);
        it.id = field(line, "id");
        it.listed_weights = 1;
        list(it, "ready");
    }
    it.crash_restarts = std::max(it.crash_restarts, restarts);
}

void soak_deployment::relist_loaded_weights(upstream& it)
{
    // One that leaves writes its entry no more.
    if (it.leaving)
        return;
    std::istringstream lines(it.program->output());
    std::uint64_t version = 1;
    for (std::string line; std::getline(lines, line);)
    {
        if (line.starts_with("restart "))
            version = 1;
        else if (line.starts_with("order "))
            version = number_field(line, "version");
    }
    if (version == std::exchange(it.listed_weights, version))
        return;
    list(it, "ready");
}

void soak_deployment::disturb_upstream_link(std::size_t index, json const& fault,
                                            base::duration length)
{
    auto& it = upstreams_[index];
    if (std::exchange(it.link_busy, true))
        return;
    control(it.link.control, fault);
    disturbed(length);
    later(length,
          [this, index]
          {
              // Connections that lost bytes must not carry anything more.
              control(upstreams_[index].link.control, {{"delay_ms", 0}, {"mode", "reset"}});
              upstreams_[index].link_busy = false;
          });
}

void soak_deployment::disturb_store_link(std::size_t index, json const& fault,
                                         base::duration length)
{
    control(gateways_[index].store_link.control, fault);
    disturbed(length);
    later(length,
          [this, index] {
              control(gateways_[index].store_link.control, {{"delay_ms", 0}, {"mode", "reset"}});
          });
}

void soak_deployment::disturb_store(std::string const& fault, base::duration length)
{
    if (std::exchange(store_busy_, true))
        return;
    control(store_, {{"store", fault}});
    disturbed(length);
    later(length,
          [this]
          {
              control(store_, {{"store", "pass"}});
              store_busy_ = false;
          });
}

void soak_deployment::restore_store(base::duration length)
{
    if (std::exchange(store_busy_, true))
        return;
    control(store_, {{"store", "refuse"}});
    disturbed(length + rewrite_time);
    later(length,
          [this, length]
          {
              control(store_, {{"restore_ms", (length + copy_age) / 1ms},
                               {"silence_ms", rewrite_time / 1ms}});
              store_busy_ = false;
          });
}

void soak_deployment::name_limit(std::size_t index, base::duration length)
{
    auto& it = upstreams_[index];
    if (std::exchange(it.busy, true))
        return;
    control(it.control, {{"limit", std::to_string(named_requests_per_second)}});
    auto const now = timers_.now();
    history_.limits.push_back({it.id, named_requests_per_second, now, now + length});
    disturbed(length);
    later(length,
          [this, index]
          {
              control(upstreams_[index].control, {{"limit", ""}});
              upstreams_[index].busy = false;
          });
}

void soak_deployment::say_leaving(std::size_t index, base::duration length)
{
    auto& it = upstreams_[index];
    if (it.busy || it.link_busy)
        return;
    // Its answers must arrive to be judged.
    it.busy = true;
    it.link_busy = true;
    control(it.control, {{"leaving", true}});
    history_.leaving.push_back({it.id, timers_.now()});
    disturbed(length + drain_time);
    later(length,
          [this, index]
          {
              upstreams_[index].leaving = true;
              list(upstreams_[index], "draining");
          });
    later(length + drain_time,
          [this, index]
          {
              finish_drain(index);
              upstreams_[index].link_busy = false;
          });
}

void soak_deployment::reject_for_now(std::size_t index, base::duration length)
{
    auto& it = upstreams_[index];
    if (it.busy || it.link_busy)
        return;
    it.busy = true;
    it.link_busy = true;
    control(it.control, {{"reject_for_now", std::to_string(rejection_time / 1s)}});
    disturbed(length + rejection_time);
    later(length, [this, index] { control(upstreams_[index].control, {{"reject_for_now", ""}}); });
    later(length + rejection_time,
          [this, index]
          {
              upstreams_[index].busy = false;
              upstreams_[index].link_busy = false;
          });
}

void soak_deployment::replace_software(std::size_t index)
{
    if (upstreams_[index].busy)
        return;
    drain_upstream(index);
    ++upstreams_[index].software;
    disturbed(drain_time);
}

void soak_deployment::kill_all_gateways(base::duration length)
{
    for (std::size_t i = 0; i < gateways_.size(); ++i)
        kill_gateway(i, length);
}

void soak_deployment::upgrade_during_pause(std::size_t engine, base::duration length)
{
    auto const paused = engine % gateways_.size();
    auto const killed = (paused + 1) % gateways_.size();
    replace_software(engine);
    auto const pause_time = drain_time + length;
    gateway_outage(pause_time);
    pause(*gateways_[paused].program, gateways_[paused].busy, pause_time);
    later(pause_time - length / 4, [this, killed, length] { kill_gateway(killed, length / 2); });
}

void soak_deployment::gateway_outage(base::duration length)
{
    history_.gateway_outages.push_back({timers_.now(), timers_.now() + length});
}

void soak_deployment::collect()
{
    for (std::size_t i = 0; i < gateways_.size(); ++i)
    {
        auto& it = *gateways_[i].program;
        if (!it.running())
            history_.exits.push_back({"gateway-" + std::to_string(i), it.wait()});
    }
    for (auto const& [id, text] : ended_outputs_)
        collect_output(id, text);
    for (auto& it : upstreams_)
    {
        if (!it.program->running())
            history_.exits.push_back({it.id, it.program->wait()});
        auto const text = it.program->output();
        collect_output(it.id, text);
        auto const newest = " version=" + std::to_string(weights_) + "\n";
        bool const current = weights_ == 1 || text.find(newest) != std::string::npos;
        if (it.engine && !current)
            history_.outdated_engines.push_back(it.id);
    }
    history_.ended = timers_.now();
}

void soak_deployment::collect_output(std::string const& id, std::string const& text)
{
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);)
    {
        if (line.starts_with("run "))
            history_.runs.push_back({id, field(line, "request"),
                                     id.starts_with("engine") ? number_field(line, "version") : 0,
                                     time_field(line)});
        else if (line.starts_with("rejected_for_now "))
            history_.rejected_for_now.push_back({id, field(line, "request"), time_field(line)});
        else if (line.starts_with("crash "))
            history_.crashes.push_back({id, field(line, "request"), time_field(line)});
        else if (line.starts_with("order "))
            history_.orders.push_back({id, field(line, "holder"), number_field(line, "fence"),
                                       number_field(line, "version"), time_field(line)});
    }
}

void soak_deployment::write_logs(std::string const& folder) const
{
    std::filesystem::create_directories(folder);
    auto const write = [&](std::string const& name, std::string const& text)
    {
        std::ofstream(folder + "/" + name + ".log", std::ios::app) << text;
    };
    for (auto const& [name, text] : ended_outputs_)
        write(name, text);
    for (std::size_t i = 0; i < gateways_.size(); ++i)
        write("gateway-" + std::to_string(i), gateways_[i].program->output());
    for (auto const& it : upstreams_)
        write(it.id, it.program->output());
}

} // namespace savorymount::soak
