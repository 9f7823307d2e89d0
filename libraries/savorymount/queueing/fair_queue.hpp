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

/// A request that waits for the engine.
struct queued_request
{
    std::string id;
    std::string workspace;
    /// Reserved tokens: prompt and maximum response.
    std::uint64_t tokens = 0;
    /// Weight of the workspace; positive.
    double weight = 1;
    /// Orders requests of the same workspace, higher first; also passed to the engine.
    std::int32_t priority = 0;
    std::optional<base::time_point> deadline;

    bool operator==(queued_request const&) const = default;
};

/// Limits of a queue, in requests and tokens.
struct queue_bounds
{
    std::size_t requests = 4096;
    std::size_t requests_per_workspace = 1024;
    std::uint64_t tokens = 64'000'000;
    std::uint64_t tokens_per_workspace = 16'000'000;
};

/// Start-time fair queueing between workspaces by tokens.
///
/// A workspace with weight w among backlogged workspaces with total weight W gets w / W of the
/// tokens served, to within one request of each. An idle workspace accumulates no credit.
class fair_queue
{
public:
    explicit fair_queue(queue_bounds bounds = {});

    /// Adds a request. Returns false and sets `reason` (`overloaded`, `deadline` or `conflict`) and
    /// `retry_after` if a limit is reached, the deadline can't be met, or the id is already queued.
    bool enqueue(base::time_point now, queued_request request, base::duration& retry_after,
                 base::error& reason);

    /// Removes and returns the next request in fair order. Requests past their deadline are moved
    /// to `expired` instead. The caller calls `on_completed` for each returned request.
    std::optional<queued_request> next(base::time_point now, std::vector<queued_request>& expired);

    /// Removes a cancelled request. Returns false if it is not queued.
    bool remove(std::string const& id);

    /// Records that a request returned by `next` ended with `used` tokens. Corrects the workspace's
    /// share by the difference to the reserved tokens, and updates the service rate.
    void on_completed(base::time_point now, queued_request const& request, std::uint64_t used);

    /// Expected wait of a request that would be added now; zero until the service rate is known.
    base::duration expected_wait(std::string const& workspace, double weight) const;

    std::size_t size() const { return locations_.size(); }
    std::uint64_t tokens() const { return tokens_; }
    /// Measured tokens per second; zero until known.
    double service_rate() const { return service_rate_; }

private:
    /// Negated priority and sequence number: higher priority first, then in order of arrival.
    using queue_position = std::pair<std::int64_t, std::uint64_t>;

    struct flow
    {
        std::map<queue_position, queued_request> requests;
        std::uint64_t tokens = 0;
        double weight = 1;
        /// Virtual start time of the next request.
        double virtual_start = 0;
        /// Orders flows with the same virtual start by arrival.
        std::uint64_t tie_breaker = 0;
        std::size_t running = 0;
    };

    struct queued_location
    {
        std::string workspace;
        queue_position position;
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
    /// Start of the current measurement interval, in which the queue was never empty, and the
    /// tokens served in it.
    std::optional<base::time_point> measured_since_;
    std::uint64_t measured_tokens_ = 0;
};

} // namespace savorymount::queueing
