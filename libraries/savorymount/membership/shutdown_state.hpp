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
    /// `announcement` is how long a leaving process stays up at least, so that every peer hears of
    /// it on a heartbeat.
    explicit shutdown_state(base::duration announcement) : announcement_(announcement) {}

    /// Counts a request in; false if the process is no longer accepting.
    bool begin_request();
    void end_request();

    /// Counts a duty in that has to end before the exit; possible until the state is drained.
    bool begin_duty();
    void end_duty();

    /// Starts the shutdown; repeated calls change nothing.
    void leave(base::time_point now);

    /// The phase at `now`; drained is final.
    shutdown_phase phase(base::time_point now);

    bool accepting() const { return !leaving_since_; }
    std::size_t requests() const { return requests_; }
    std::size_t duties() const { return duties_; }

    /// When the announcement ends; none while accepting.
    std::optional<base::time_point> announcement_end() const;

private:
    base::duration announcement_;
    std::optional<base::time_point> leaving_since_;
    bool drained_ = false;
    std::size_t requests_ = 0;
    std::size_t duties_ = 0;
};

} // namespace savorymount::membership
