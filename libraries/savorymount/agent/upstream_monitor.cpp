#include <savorymount/agent/upstream_monitor.hpp>
#include <savorymount/runtime/log_events.hpp>

#include <utility>

namespace savorymount::agent
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration report_interval = 250ms;

} // namespace

upstream_monitor::upstream_monitor(runtime::timer_service& timers,
                                   runtime::upstream_adapter const& adapter)
    : timers_(timers), adapter_(adapter)
{
}

void upstream_monitor::start()
{
    poll();
}

void upstream_monitor::check(std::function<void(bool, std::string const&)> done)
{
    adapter_.report(
        [this, done = std::move(done)](std::optional<runtime::upstream_report> const& report,
                                       base::error const& reason)
        {
            handle(report, reason);
            done(report.has_value(), report_.engine);
        });
}

void upstream_monitor::poll()
{
    adapter_.report(
        [this](std::optional<runtime::upstream_report> const& report, base::error const& reason)
        {
            handle(report, reason);
            timer_ = timers_.after(report_interval, [this] { poll(); });
        });
}

void upstream_monitor::handle(std::optional<runtime::upstream_report> const& report,
                              base::error const& reason)
{
    bool const was_healthy = std::exchange(healthy_, report.has_value());
    if (!report)
    {
        if (was_healthy || !reported_)
            runtime::log(runtime::log_events::upstream_unhealthy, {{"reason", reason.message}});
        reported_ = true;
        return;
    }
    reported_ = true;
    bool const restarted = report->engine != report_.engine;
    report_ = *report;
    if (!was_healthy || restarted)
        runtime::log(runtime::log_events::upstream_healthy, {{"engine", report_.engine}});
    for (auto const& it : hooks_)
        it(report_);
}

} // namespace savorymount::agent
