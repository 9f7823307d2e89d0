#pragma once

#include <savorymount/base/time.hpp>

#include <cstddef>
#include <optional>

namespace savorymount::membership
{

enum class shutdown_phase
{
    accepting,
    /// Rejects new requests as not run, reports `leaving` and completes running requests.
    leaving,
    /// No request or task is running and all peers were notified: the process may exit.
    drained
};

/// Shutdown state of one process. Counts the running requests and the shutdown tasks, such as
/// leases to release or usage reports to send. The drained phase is final.
class shutdown_state
{
public:
    /// `announcement_period` is the minimum time between the start of the shutdown and the exit, so
    /// that a heartbeat notifies every peer.
    explicit shutdown_state(base::duration announcement_period)
        : announcement_period_(announcement_period)
    {
    }

    /// Adds a running request. Returns false if the process no longer accepts requests.
    bool begin_request();
    void end_request();

    /// Adds a task that has to end before the process exits. Returns false if the state is drained.
    bool begin_task();
    void end_task();

    /// Starts the shutdown. Repeated calls have no effect.
    void begin_shutdown(base::time_point now);

    /// Updates and returns the phase at `now`.
    shutdown_phase phase(base::time_point now);

    bool accepting() const { return !shutdown_began_at_; }
    std::size_t requests() const { return requests_; }
    std::size_t tasks() const { return tasks_; }

    /// End of the announcement period; no value while accepting.
    std::optional<base::time_point> announcement_end() const;

private:
    base::duration announcement_period_;
    std::optional<base::time_point> shutdown_began_at_;
    bool drained_ = false;
    std::size_t requests_ = 0;
    std::size_t tasks_ = 0;
};

} // namespace savorymount::membership
