#pragma once

#include <savorymount/agent/agent_request.hpp>
#include <savorymount/agent/upstream_monitor.hpp>
#include <savorymount/retries/crash_quarantine.hpp>
#include <savorymount/runtime/kernel.hpp>
#include <savorymount/runtime/request_outcome.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace savorymount::agent
{

/// Finds out whether a request crashed its engine, tells the other agents through the platform's
/// log, and knows the requests that are refused for it.
class crash_watch
{
public:
    crash_watch(runtime::kernel& owner, upstream_monitor& monitor);

    /// How much longer requests with this digest are refused; empty when they are not.
    std::optional<base::duration> refused_for(std::string const& digest) const;

    /// Asks the engine whether it lives. `done` gets the outcome, which says `crashed` if it does
    /// not or has restarted.
    void examine(std::shared_ptr<agent_request> const& it, runtime::request_outcome outcome,
                 std::function<void(runtime::request_outcome)> done);

private:
    void note_crash(agent_request const& it);
    void take_record(runtime::log_record const& record);

    runtime::kernel& kernel_;
    upstream_monitor& monitor_;
    retries::crash_quarantine quarantine_;
};

} // namespace savorymount::agent
