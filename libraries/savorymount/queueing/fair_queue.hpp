#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace savorymount::queueing
{

/// One request that waits for the engine.
struct queued_request
{
    std::string id;
    std::string workspace;
    /// Prompt and largest response, as reserved.
    std::uint64_t tokens = 0;
    /// Of the workspace's contract; positive.
    double weight = 1;
    /// Passed on to the engine. Orders only requests of the same workspace; higher goes first.
    std::int32_t priority = 0;
    std::optional<base::time_point> deadline;

    bool operator==(queued_request const&) const = default;
};

/// Bounds of a queue, in requests and tokens.
struct queue_bounds
{
    std::size_t requests = 4096;
    std::size_t requests_per_workspace = 1024;
    std::uint64_t tokens = 64'000'000;
    std::uint64_t tokens_per_workspace = 16'000'000;
};

/// Start-time fair queueing by tokens per workspace.
///
/// A workspace with weight w among backlogged workspaces with weights W gets w / sum(W) of the
/// tokens served, to within one request of each. A workspace that was idle earns no credit.
class fair_queue
{
public:
    explicit fair_queue(queue_bounds bounds = {});

    /// Adds a request. False, with `reason` (`overloaded`, `deadline` or `conflict`) and
    /// `retry_after`, if a bound is reached, the deadline can't be met, or the id is present.
    bool enqueue(base::time_point now, queued_request request, base::duration& retry_after,
                 base::error& reason);

    /// Takes the next request out, in fair order. Requests found past their deadline are moved to
    /// `expired` instead. Each request returned must end in `completed`.
    std::optional<queued_request> next(base::time_point now, std::vector<queued_request>& expired);

    /// Takes a request out on cancel. False if it is not queued.
    bool remove(std::string const& id);

    /// A request taken by `next` ended with `used` tokens. Corrects the workspace's share by the
    /// difference to the reserved tokens, and measures the service rate.
    void on_completed(base::time_point now, queued_request const& request, std::uint64_t used);

    /// Expected wait of a request that would be added now; zero until a service rate is known.
    base::duration expected_wait(std::string const& workspace, double weight) const;

    std::size_t size() const { return locations_.size(); }
    std::uint64_t tokens() const { return tokens_; }
    /// Measured tokens per second; zero until known.
    double service_rate() const { return service_rate_; }

private:
    /// Higher priority first, then in order of arrival.
    using queue_position = std::pair<std::int64_t, std::uint64_t>;

    struct flow
    {
        std::map<queue_position, queued_request> requests;
        std::uint64_t tokens = 0;
        double weight = 1;
        /// Virtual start of the next request.
        double virtual_start = 0;
        /// Breaks ties between flows with the same start by arrival.
        std::uint64_t tie_breaker = 0;
        std::size_t running = 0;
    };

    struct queued_location
    {
        std::string workspace;
        queue_position at;
    };

    using schedule_entry = std::tuple<double, std::uint64_t, std::string>;

    bool fits(queued_request const& request, flow const* existing) const;
    queued_request extract(std::string const& workspace, flow& from,
                           std::map<queue_position, queued_request>::iterator it);
    void schedule(std::string const& workspace, flow& it);
    void unschedule(std::string const& workspace, flow const& it);
    void erase_if_idle(std::string const& workspace);
    void update_service_rate(base::time_point now);

    queue_bounds bounds_;
    std::unordered_map<std::string, flow> flows_;
    std::set<schedule_entry> schedule_;
    std::unordered_map<std::string, queued_location> locations_;
    std::uint64_t tokens_ = 0;
    std::uint64_t last_sequence_number_ = 0;
    std::size_t running_ = 0;
    double virtual_time_ = 0;
    double service_rate_ = 0;
    /// Start of the measured interval in which the queue was never empty, and tokens served in it.
    std::optional<base::time_point> busy_since_;
    std::uint64_t busy_tokens_ = 0;
};

} // namespace savorymount::queueing
