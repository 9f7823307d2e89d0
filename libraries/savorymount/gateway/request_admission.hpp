#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/gateway/admission.hpp>
#include <savorymount/gateway/caller_request.hpp>
#include <savorymount/gateway/cluster_state.hpp>
#include <savorymount/queueing/service_admission.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace savorymount::gateway
{

/// Decides for each request of this instance whether it begins, waits or is refused. If the
/// settings ask for it, it is in force for services whose upstreams tell their load and whose
/// requests differ in urgency; there is no timer unless a request waits.
class request_admission
{
public:
    /// Called once: without a refusal the request may begin.
    using decided_callback = std::function<void(std::optional<refusal> const& refused)>;

    request_admission(runtime::timer_service& timers, cluster_state& cluster,
                      base::random_source& random);

    /// Decides now, or later if the request waits. Sets the request's ticket before it decides; the
    /// owner ends it with `leave`. It stays 0 if admission is not in force for the service.
    void ask(admitted_request const& admitted, caller_request const& request,
             std::string const& service, base::duration time_left, std::uint64_t& ticket,
             decided_callback decided);

    /// The first part of the response arrived.
    void response_started(std::uint64_t ticket);

    /// The request ended, or its caller left.
    void leave(std::uint64_t ticket);

    /// When the caller of a request that began and was rejected should return; empty if that is not
    /// known.
    std::optional<base::duration> retry_after(std::uint64_t ticket, base::duration time_left);

private:
    struct ticket_state
    {
        std::string service;
        decided_callback decided;
    };

    /// A period in which requests of a service wait.
    struct waiting_period
    {
        base::time_point since{};
        std::uint64_t waited = 0;
        std::uint64_t refused = 0;
    };

    bool in_force(admitted_request const& admitted, std::string const& service) const;
    queueing::service_admission& admission_of(std::string const& service);
    std::optional<queueing::service_room> room_of(std::string const& service) const;
    void update();
    void update_service(std::string const& service, queueing::service_admission& admission);
    void log_period(std::string const& service, queueing::service_admission const& admission);

    runtime::timer_service& timers_;
    cluster_state& cluster_;
    base::random_source& random_;
    std::map<std::string, queueing::service_admission> services_;
    std::map<std::string, waiting_period> periods_;
    std::unordered_map<std::uint64_t, ticket_state> tickets_;
    std::uint64_t last_ticket_ = 0;
    bool updating_ = false;
    runtime::timer_service::subscription update_timer_;
    bool timer_runs_ = false;
};

} // namespace savorymount::gateway
