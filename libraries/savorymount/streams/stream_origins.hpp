#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/streams/stream_origin.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savorymount::streams
{

/// Knows which software version began a stream, for as long as a caller may resume it.
///
/// While a stream can have begun at one version of one service only, that is the answer for each
/// stream, and nothing is recorded outside. While there are several, or one has just left, the
/// origins of the streams are handed out for the other instances and for the platform's store. A
/// stream of which nothing is known has no version then: its text must not be joined by chance.
class stream_origins
{
public:
    /// Records of one instance that the store holds at the same time.
    static constexpr std::uint64_t records_per_instance = 16;

    /// The longest time after its first event in which a caller resumes a stream.
    void set_lifetime(base::duration lifetime);

    /// The services whose streams may be resumed where a stream can have begun at another service
    /// too, in place of those set before.
    void set_shared_services(std::set<std::string> services);

    /// An upstream with this version is listed, or was lately.
    void version_seen(base::time_point now, std::string const& service,
                      std::string const& software_version);

    /// The first event of a stream is sent to its caller.
    void stream_began(base::time_point now, std::string_view request_id, std::string const& service,
                      std::string const& software_version);

    /// Adds what another instance tells. `record` tells whether this instance records it in the
    /// store for the other one.
    void add(base::time_point now, stream_origin origin, bool record);

    /// Adds what the store held at some time after `asked_at`.
    void add_stored(base::time_point now, base::time_point asked_at, stored_origins const& stored);

    /// Every change of the list of upstreams before `complete_until` was applied.
    void upstreams_read(base::time_point complete_until);
    /// The list may lack upstreams that serve, until it is read again after `certain_from`.
    void upstreams_uncertain(base::time_point certain_from);
    /// Empty if the list was never read.
    std::optional<base::time_point> upstreams_complete_until() const
    {
        return upstreams_complete_until_;
    }

    /// The origin of the stream that began with the request; empty if it is not known.
    std::optional<stream_origin> find(std::string_view request_id) const;

    /// The version that began each stream of these services that began before `until` and may
    /// still run; empty if there are several, or if the list of upstreams or the store was not read
    /// since then: other instances may have used a version that this one has not seen.
    std::optional<service_version> only_version(base::time_point now, base::time_point until,
                                                std::set<std::string> const& services) const;

    /// Takes the origins for the other instances that were not taken before, `max_count` at most.
    std::vector<stream_origin> take_unreported(base::time_point now, std::size_t max_count);

    /// The record to write to the store now; empty if there is nothing new. Nothing is returned
    /// before `add_stored`, so that the records of the instance's former process stay.
    std::optional<origin_record> next_record(base::time_point now);
    /// The last record could not be written.
    void record_failed() { record_changed_ = true; }

    /// The versions that may have begun a stream that still runs.
    std::vector<service_version> versions(base::time_point now) const;

    /// Forgets what is older than the lifetime.
    void expire(base::time_point now);

    std::size_t size() const { return known_.size(); }

private:
    struct entry
    {
        stream_origin origin;
        base::time_point began_at{};
    };

    struct pending_origin
    {
        base::time_point began_at{};
        stream_origin origin;
    };

    /// Versions that may have begun a stream that still runs, whoever has seen them.
    std::set<service_version> recent_versions(base::time_point now) const;
    /// Notes what the records of other instances that are new here tell.
    void add_version_records(base::time_point now, std::vector<version_record> const& records);
    /// Services whose streams can have begun at another version or service, as far as a caller that
    /// resumes one can tell.
    std::set<std::string> mixed_services(base::time_point now) const;
    /// Takes the oldest origins of these services.
    std::vector<stream_origin>
    take_pending(base::time_point now, std::deque<pending_origin>& pending, std::size_t max_count);
    base::duration record_time() const;
    void remember(base::time_point now, stream_origin const& origin);

    base::duration lifetime_ = std::chrono::seconds(20);
    std::set<std::string> shared_services_;
    std::unordered_map<std::uint64_t, entry> known_;
    std::deque<std::pair<base::time_point, std::uint64_t>> expiry_order_;
    /// When an upstream with the version was last listed.
    std::map<service_version, base::time_point> last_seen_;
    /// When another instance was last found to have recorded the version. Kept apart, so that
    /// instances do not repeat to each other what none of them sees any longer.
    std::map<service_version, base::time_point> last_told_;
    /// The last known record of each instance.
    std::map<std::string, std::uint64_t> revisions_;
    std::optional<base::time_point> upstreams_complete_until_;
    /// What the list shows from before this time may be incomplete.
    base::time_point upstreams_certain_from_{};
    /// The store was read completely as of this time.
    std::optional<base::time_point> store_read_at_;
    /// What was not reported to the other instances, and not recorded in the store yet.
    std::deque<pending_origin> unreported_;
    std::deque<pending_origin> unrecorded_;
    origin_record record_;
    base::time_point record_began_at_{};
    bool record_changed_ = false;
};

/// The key of a stream: a digest of the id of the request that brought its first event.
std::uint64_t stream_key(std::string_view request_id);

} // namespace savorymount::streams
