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
    /// How long a crash counts and how long a request digest is refused after its second crash.
    base::duration quarantine_duration = std::chrono::seconds(600);
    /// Most request digests that are remembered; the oldest is dropped first.
    std::size_t max_digests = 10'000;
};

/// What was seen when an upstream failed during a request.
struct crash_evidence
{
    /// The connection was reset or refused.
    bool connection_lost = false;
    /// The health check failed afterwards.
    bool health_check_failed = false;
    /// Engine process id before the request and after the failure; empty when unknown.
    std::string engine_before;
    std::string engine_after;

    bool operator==(crash_evidence const&) const = default;
};

/// Whether the upstream crashed, as opposed to being slow or unreachable: a lost connection
/// together with a new engine process id or a failed health check.
bool is_crash(crash_evidence const& evidence);

/// Request digests that crashed upstreams. Two crashes of different engine processes within the
/// quarantine time make the fleet refuse the request.
class crash_quarantine
{
public:
    explicit crash_quarantine(crash_quarantine_options const& options);

    /// Notes a crash record. Repeated records of one engine process count once.
    void record_crash(base::time_point now, std::string const& request_digest,
                      std::string const& engine);

    /// Time until the request is accepted again; empty when it is not quarantined.
    std::optional<base::duration> remaining_quarantine(base::time_point now,
                                                       std::string const& request_digest) const;

    /// Applies a changed configuration.
    void set_quarantine_duration(base::duration quarantine)
    {
        options_.quarantine_duration = quarantine;
    }

    std::size_t size() const { return records_.size(); }

private:
    struct crash_record
    {
        std::string first_engine;
        /// Time of the crash that decides: the second one if quarantined, else the first.
        bool quarantined = false;
        base::time_point deciding_crash_at{};
        std::uint64_t sequence = 0;
    };

    void remove_expired(base::time_point now);

    crash_quarantine_options options_;
    std::unordered_map<std::string, crash_record> records_;
    /// Digests in the order of their first records, with the sequence number of that record.
    std::deque<std::pair<std::string, std::uint64_t>> insertion_order_;
    std::uint64_t next_sequence_ = 1;
};

} // namespace savorymount::retries
