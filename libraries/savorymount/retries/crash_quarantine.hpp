#pragma once

#include <savorymount/base/time.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace savorymount::retries
{

struct crash_quarantine_options
{
    /// How long a first crash counts, and how long a request digest is refused after a second one.
    base::duration quarantine_duration = std::chrono::seconds(600);
    /// Maximum number of request digests; the oldest is evicted first.
    std::size_t max_digests = 10'000;
};

/// Observations about an upstream that failed during a request.
struct crash_evidence
{
    /// The connection was reset or refused.
    bool connection_lost = false;
    /// The health check after the failure failed.
    bool health_check_failed = false;
    /// Engine process id before the request and after the failure; empty when unknown.
    std::string engine_before;
    std::string engine_after;

    bool operator==(crash_evidence const&) const = default;
};

/// Whether the upstream crashed, as opposed to being slow or unreachable. A crash is a lost
/// connection together with a new engine process id or a failed health check.
bool is_crash(crash_evidence const& evidence);

/// Tracks the digests of requests that crashed upstreams. A request is refused after crashes of two
/// different engine processes within the quarantine duration.
class crash_quarantine
{
public:
    explicit crash_quarantine(crash_quarantine_options const& options);

    /// Records a crash. Repeated records of the same engine process count once.
    void record_crash(base::time_point now, std::string const& request_digest,
                      std::string const& engine);

    /// Time until the request is accepted again; empty if it is not quarantined.
    std::optional<base::duration> remaining_quarantine(base::time_point now,
                                                       std::string const& request_digest) const;

    /// Sets the quarantine duration when a new configuration takes effect.
    void set_quarantine_duration(base::duration duration)
    {
        options_.quarantine_duration = duration;
    }

    std::size_t size() const { return records_.size(); }

private:
    struct crash_record
    {
        std::string first_engine;
        bool quarantined = false;
        /// Time of the second crash if quarantined, otherwise of the first one.
        base::time_point deciding_crash_at{};
        std::uint64_t sequence = 0;
    };

    void remove_expired(base::time_point now);

    crash_quarantine_options options_;
    std::unordered_map<std::string, crash_record> records_;
    /// Digests in the order of their first crash records, with the sequence number of that record.
    std::deque<std::pair<std::string, std::uint64_t>> insertion_order_;
    std::uint64_t next_sequence_ = 1;
};

} // namespace savorymount::retries
