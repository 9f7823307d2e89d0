#pragma once

#include <savorymount/runtime/timer_service.hpp>
#include <savorymount/runtime/upstream_adapter.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::agent
{

/// Watches the upstream beside this agent: its load report, its process and its health.
class upstream_monitor
{
public:
    upstream_monitor(runtime::timer_service& timers, runtime::upstream_adapter const& adapter);

    /// Starts to ask for reports.
    void start();

    /// Whether the last report was answered.
    bool healthy() const { return healthy_; }

    /// The last report; empty fields before the first.
    runtime::upstream_report const& report() const { return report_; }

    /// Called after each answered report.
    void on_report(std::function<void(runtime::upstream_report const&)> hook)
    {
        hooks_.push_back(std::move(hook));
    }

    /// Asks for a report now and tells whether the upstream answers and which process it is.
    void check(std::function<void(bool answers, std::string const& engine)> done);

private:
    void poll();
    void handle(std::optional<runtime::upstream_report> const& report, base::error const& reason);

    runtime::timer_service& timers_;
    runtime::upstream_adapter const& adapter_;
    runtime::upstream_report report_;
    bool healthy_ = false;
    bool reported_ = false;
    std::vector<std::function<void(runtime::upstream_report const&)>> hooks_;
    runtime::timer_service::subscription timer_;
};

} // namespace savorymount::agent
