#include <savorymount/agent/crash_watch.hpp>
#include <savorymount/runtime/log_events.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::agent
{

crash_watch::crash_watch(runtime::kernel& owner, upstream_monitor& monitor)
    : kernel_(owner), monitor_(monitor), quarantine_(retries::crash_quarantine_options{})
{
    kernel_.configuration().on_change(
        [this](configuration::configuration const& current)
        { quarantine_.set_quarantine_duration(current.settings().quarantine); });
    kernel_.log().on_record([this](runtime::log_record const& record) { take_record(record); });
}

std::optional<base::duration> crash_watch::refused_for(std::string const& digest) const
{
    return quarantine_.remaining_quarantine(kernel_.now(), digest);
}

void crash_watch::examine(std::shared_ptr<agent_request> const& it,
                          runtime::request_outcome outcome,
                          std::function<void(runtime::request_outcome)> done)
{
    monitor_.check(
        [this, it, outcome = std::move(outcome),
         done = std::move(done)](bool answers, std::string const& engine) mutable
        {
            retries::crash_evidence evidence;
            evidence.connection_lost = outcome.reason.kind != base::error_kind::deadline;
            evidence.health_check_failed = !answers;
            evidence.engine_before = it->engine_before;
            evidence.engine_after = answers ? engine : std::string();
            outcome.crashed = retries::is_crash(evidence);
            if (outcome.crashed)
            {
                outcome.reason.kind = base::error_kind::crashed;
                note_crash(*it);
            }
            done(std::move(outcome));
        });
}

void crash_watch::note_crash(agent_request const& it)
{
    auto const& request = it.request();
    runtime::log(runtime::log_events::upstream_crashed,
                 {{"request", request.id}, {"engine", it.engine_before}});
    auto const now = kernel_.now();
    quarantine_.record_crash(now, request.digest, it.engine_before);
    if (quarantine_.remaining_quarantine(now, request.digest))
        runtime::log(runtime::log_events::request_quarantined, {{"request", request.id}});
    nlohmann::json const body{{"kind", "crash"},
                              {"workspace", request.workspace},
                              {"request", request.digest},
                              {"upstream", kernel_.settings().name()},
                              {"engine", it.engine_before}};
    kernel_.log().append("crash-" + request.id, body, [](auto const&, auto const&) {});
}

void crash_watch::take_record(runtime::log_record const& record)
{
    if (!runtime::has_kind(record, "crash"))
        return;
    auto const request = record.body.find("request");
    auto const engine = record.body.find("engine");
    bool const complete = request != record.body.end() && request->is_string() &&
                          engine != record.body.end() && engine->is_string();
    if (!complete)
        return;
    // The record's age is taken from its time, so that a restarted agent does not refuse for
    // longer.
    auto const age = std::chrono::milliseconds(
        std::max<std::int64_t>(0, kernel_.loop().unix_milliseconds() - record.time_ms));
    quarantine_.record_crash(kernel_.now() - age, request->get<std::string>(),
                             engine->get<std::string>());
}

} // namespace savorymount::agent
