#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/base/time.hpp>
#include <savorymount/queueing/concurrency_limit.hpp>
#include <savorymount/queueing/demand_meter.hpp>
#include <savorymount/queueing/request_queue.hpp>
#include <savorymount/queueing/retry_schedule.hpp>
#include <savorymount/queueing/room_estimate.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace savorymount::queueing
{

/// A request that asks whether it may begin.
struct room_request
{
    /// Unique within the service.
    std::uint64_t id = 0;
    /// 0 is the most urgent.
    std::int32_t urgency = 0;
    /// No route of the service and no workspace has a more urgent priority.
    bool most_urgent = false;
    std::string workspace;
    double weight = 1;
    double tokens = 1;
    /// Time within which the caller expects the start of the response.
    base::duration target_latency{};
    /// Time until the caller stops waiting.
    base::duration time_left{};

    bool operator==(room_request const&) const = default;
};

enum class room_verdict
{
    begin,
    wait,
    refuse
};

struct room_decision
{
    std::uint64_t id = 0;
    room_verdict verdict = room_verdict::begin;
    /// When a refused caller should return; empty if that would be too late.
    std::optional<base::duration> retry_after;

    bool operator==(room_decision const&) const = default;
};

/// Decides for the requests of one service at one instance which begin, wait or are refused.
class service_admission
{
public:
    /// `room` tells the room of the service at the moment of the call; empty if no engine takes
    /// requests, in which case requests begin so that they fail as they do without admission.
    service_admission(std::function<std::optional<service_room>()> room,
                      base::random_source& random);

    room_decision ask(base::time_point now, room_request const& request);

    /// Requests that no longer wait: those that begin now, and those refused after their wait.
    std::vector<room_decision> update(base::time_point now);

    /// The first part of the response arrived.
    void response_started(base::time_point now, std::uint64_t id);

    /// The request ended, or its caller left.
    void leave(base::time_point now, std::uint64_t id);

    /// When the caller of a request that an engine rejected should return; empty if the rate at
    /// which requests begin is unknown, or if that would be too late.
    std::optional<base::duration> retry_after(base::time_point now, std::uint64_t id,
                                              base::duration time_left);

    std::size_t waiting() const { return queue_.size(); }
    std::size_t running() const { return meter_.running(); }
    /// Whether less urgent requests are limited now.
    bool limited(base::time_point now) const;

private:
    /// A request that has begun.
    struct begun_request
    {
        std::int32_t urgency = 0;
        base::time_point began_at{};
        /// From then on a missing response is late.
        base::time_point late_at{};
    };

    bool may_begin_now(base::time_point now, std::int32_t urgency, bool most_urgent) const;
    void begin(base::time_point now, std::uint64_t id, std::int32_t urgency,
               base::duration target_latency);
    void note_late(base::time_point now);
    void record_late(base::time_point now, begun_request const& request);
    double running_after(std::int32_t urgency) const;
    std::optional<base::duration> book_return(base::time_point now, std::int32_t urgency,
                                              base::duration time_left);

    std::function<std::optional<service_room>()> room_;
    base::random_source& random_;
    request_queue queue_;
    demand_meter meter_;
    retry_schedule returns_;
    /// Limits of the requests that are less urgent than the key.
    std::map<std::int32_t, concurrency_limit> limits_;
    std::map<std::int32_t, std::size_t> running_;
    std::unordered_map<std::uint64_t, begun_request> begun_;
    std::unordered_map<std::uint64_t, room_request> waiting_;
    /// Requests without a response, by the time at which they come late.
    std::set<std::pair<base::time_point, std::uint64_t>> pending_;
};

} // namespace savorymount::queueing
