#pragma once

#include <savorymount/gateway/cluster_state.hpp>
#include <savorymount/gateway/platform_adapter.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::gateway
{

/// The origin of a stream that a caller resumes.
struct stream_lookup
{
    /// Empty if nobody knows it.
    std::optional<streams::stream_origin> origin;
    /// The store could not be read, so a later request may find it.
    bool store_failed = false;

    bool operator==(stream_lookup const&) const = default;
};

/// Finds the software version that began a stream: from what this instance knows, else from the
/// platform's store. Writes what the other instances need to know there.
class stream_directory
{
public:
    /// `writes_store` tells whether this instance writes to the store, for itself or for its data
    /// centre.
    stream_directory(runtime::timer_service& timers, cluster_state& cluster,
                     platform_adapter& platform, std::function<bool()> writes_store);

    void start();

    /// Finds the stream that began with the request. Calls back at once if its origin is known, and
    /// soon in any case.
    void find(std::string const& request_id, std::string const& service,
              std::function<void(stream_lookup const&)> callback);

private:
    struct waiting_lookup
    {
        std::string request_id;
        std::string service;
        base::time_point until;
        std::function<void(stream_lookup const&)> callback;
    };

    std::optional<streams::stream_origin> find_known(std::string const& request_id,
                                                     std::string const& service) const;
    void read_store();
    void handle_stored(std::optional<streams::stored_origins> const& stored);
    void end_lookups();
    void tick();
    void write_versions();
    void write_origins();

    runtime::timer_service& timers_;
    cluster_state& cluster_;
    platform_adapter& platform_;
    std::function<bool()> writes_store_;
    std::vector<waiting_lookup> waiting_;
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
