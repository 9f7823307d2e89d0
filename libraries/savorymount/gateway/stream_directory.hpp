#pragma once

#include <savorymount/gateway/cluster_state.hpp>
#include <savorymount/gateway/platform_adapter.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace savorymount::gateway
{

/// From what the origin of a stream was concluded.
enum class origin_source
{
    unknown,
    /// An instance recorded or reported it.
    recorded,
    /// All upstreams that may have begun it have the same version.
    only_version
};

std::string_view to_string(origin_source source);

/// The origin of a stream that a caller resumes.
struct stream_lookup
{
    /// Empty if nobody knows it.
    std::optional<streams::stream_origin> origin;
    origin_source source = origin_source::unknown;
    /// The store or the list could not be read, so a later request may find it.
    bool store_failed = false;

    bool operator==(stream_lookup const&) const = default;
};

/// Finds the software version that began a stream: from what this instance has recorded, else from
/// the platform's store and the list of upstreams as of then. Writes what the other instances need
/// to know there.
class stream_directory
{
public:
    /// `writes_store` tells whether this instance writes to the store, for itself or for its data
    /// centre.
    stream_directory(runtime::timer_service& timers, cluster_state& cluster,
                     platform_adapter& platform, std::function<bool()> writes_store);

    void start();

    /// Finds the stream that began with the request at one of the services, and reads the list of
    /// upstreams anew. Calls back soon in any case.
    void find(std::string const& request_id, std::set<std::string> const& services,
              std::function<void(stream_lookup const&)> callback);

    /// Reads the list of upstreams, so that a stream goes on at an upstream whose version is known
    /// as of now: one may have started anew under its id. Calls back when the list was read, or
    /// soon if the store does not answer.
    void confirm_upstreams(std::function<void()> callback);

    /// Every change of the list of upstreams before `complete_until` was applied.
    void upstreams_read(base::time_point complete_until);
    /// A read of the list of upstreams that was sent at that time failed.
    void upstreams_unreadable(base::time_point sent_at);

private:
    struct waiting_lookup
    {
        std::string request_id;
        /// Where it can have begun.
        std::set<std::string> services;
        base::time_point asked_at;
        base::time_point until;
        std::function<void(stream_lookup const&)> callback;
    };

    struct waiting_confirmation
    {
        base::time_point asked_at;
        std::function<void()> callback;
    };

    /// What is known of the stream now; no origin if it must be looked for.
    stream_lookup find_known(waiting_lookup const& lookup) const;
    /// Whether the list was read at some time after this one.
    bool upstreams_read_since(base::time_point time) const;
    /// Ends the waits for the list that were asked for before `asked_before`.
    void end_confirmations(base::time_point asked_before);
    void read_store();
    void handle_stored(base::time_point asked_at,
                       std::optional<streams::stored_origins> const& stored);
    void end_lookups();
    void tick();
    void write_versions();
    void write_origins();

    runtime::timer_service& timers_;
    cluster_state& cluster_;
    platform_adapter& platform_;
    std::function<bool()> writes_store_;
    std::vector<waiting_lookup> waiting_;
    std::vector<waiting_confirmation> confirmations_;
    bool store_was_read_ = false;
    bool last_read_failed_ = false;
    bool is_reading_ = false;
    bool is_writing_versions_ = false;
    bool is_writing_origins_ = false;
    std::vector<streams::service_version> written_versions_;
    runtime::timer_service::subscription tick_timer_;
    runtime::timer_service::subscription read_timer_;
};

} // namespace savorymount::gateway
