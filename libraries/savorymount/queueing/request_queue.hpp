#pragma once

#include <savorymount/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace savorymount::queueing
{

/// A request that waits until an engine can begin it.
struct waiting_request
{
    /// Unique among the waiting requests.
    std::uint64_t id = 0;
    /// 0 is the most urgent.
    std::int32_t urgency = 0;
    std::string workspace;
    /// Part of the room that the workspace may claim against others; positive.
    double weight = 1;
    double tokens = 1;
    /// When the caller stops waiting. A caller that was refused before has an earlier one than a
    /// newcomer.
    base::time_point deadline;
    /// The request is refused if it has not begun by then.
    base::time_point leaves_at;

    bool operator==(waiting_request const&) const = default;
};

/// Orders waiting requests by urgency, then by start-time fair queueing between workspaces over
/// tokens, then by deadline. The first one begins first, whatever its size. Operations take
/// logarithmic time.
class request_queue
{
public:
    void add(base::time_point now, waiting_request request);

    /// Removes a request, for example when its caller left. Returns whether it waited.
    bool remove(base::time_point now, std::uint64_t id);

    /// The request that begins next, or null.
    waiting_request const* front() const;

    /// Removes a waiting request because it begins, and charges its workspace.
    std::optional<waiting_request> begin(base::time_point now, std::uint64_t id);

    /// Removes the requests that have waited as long as they may.
    std::vector<waiting_request> take_expired(base::time_point now);

    /// Requests that wait and are at least as urgent.
    std::size_t count_until(std::int32_t urgency) const;

    /// The place in the order that a new request of a workspace would get, from 1 on, if requests
    /// are of similar size. It does not grow with the excess of another workspace.
    std::size_t position_of(std::int32_t urgency, std::string const& workspace,
                            double weight) const;

    /// Mean time between two requests that begin while others wait; empty until it is known.
    std::optional<base::duration> begin_interval(base::time_point now) const;

    std::size_t size() const { return waiting_.size(); }

private:
    using by_deadline = std::set<std::pair<base::time_point, std::uint64_t>>;

    struct workspace_queue
    {
        by_deadline requests;
        double weight = 1;
        /// Virtual start time of the next request.
        double start = 0;
    };

    /// The requests of one urgency.
    struct urgency_level
    {
        std::map<std::string, workspace_queue> flows;
        /// Workspaces with requests, by the virtual start time of the next one.
        std::set<std::pair<double, std::string>> schedule;
        double virtual_time = 0;
        std::size_t size = 0;
    };

    waiting_request take_out(std::uint64_t id, bool charge);
    void measure(base::time_point now, double begun);

    std::map<std::int32_t, urgency_level> levels_;
    std::unordered_map<std::uint64_t, waiting_request> waiting_;
    by_deadline by_end_;
    /// Requests that began, and seconds in which some waited; both lose their weight over time.
    double begun_ = 0;
    double contended_seconds_ = 0;
    base::time_point measured_at_{};
};

} // namespace savorymount::queueing
