#pragma once

#include <savorymount/base/time.hpp>

#include <cstddef>
#include <optional>

namespace savorymount::membership
{

enum class shutdown_phase
{
    accepting,
    /// Refuses new requests as not run, reports `leaving`, finishes what runs.
    leaving,
    /// Nothing runs, duties are done, peers were told: the process may exit.
    drained
};

/// Drain state of one process. Requests and duties (leases to release, settlements to send) are
/// counted; the state ends as drained and never goes back.
class shutdown_state
{
public:
    /// `announcement_period` is how long a leaving process stays up at least, so that every peer
    /// hears of it on a heartbeat.
    explicit shutdown_state(base::duration announcement_period)
        : announcement_period_(announcement_period)
    {
    }

    /// Counts a request in; false if the process is no longer accepting.
    bool begin_request();
    void end_request();

    /// Counts a duty in that has to end before the exit; possible until the state is drained.
    bool begin_task();
    void end_task();

    /// Starts the shutdown; repeated calls change nothing.
    void begin_shutdown(base::time_point now);

    /// The phase at `now`; drained is final.
    shutdown_phase phase(base::time_point now);

    bool accepting() const { return !shutdown_began_at_; }
    std::size_t requests() const { return requests_; }
    std::size_t tasks() const { return tasks_; }

    /// When the announcement ends; none while accepting.
    std::optional<base::time_point> announcement_end() const;

private:
    base::duration announcement_period_;
    std::optional<base::time_point> shutdown_began_at_;
    bool drained_ = false;
    std::size_t requests_ = 0;
    std::size_t tasks_ = 0;
};

} // namespace savorymount::membership
