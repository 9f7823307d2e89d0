#include <savorymount/gateway/stream_directory.hpp>

#include <utility>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;

// Between two writes of origins. What was not written when all instances end is not known later.
constexpr base::duration tick_interval = 100ms;
constexpr base::duration read_interval = 100ms;
// Until the store answers for the first time; all instances may start during its outage.
constexpr base::duration first_read_interval = 500ms;
// Longer than an instance takes to write an origin that it knows.
constexpr base::duration write_time = 400ms;

} // namespace

stream_directory::stream_directory(runtime::timer_service& timers, cluster_state& cluster,
                                   platform_adapter& platform, std::function<bool()> writes_store)
    : timers_(timers), cluster_(cluster), platform_(platform),
      writes_store_(std::move(writes_store))
{
}

void stream_directory::start()
{
    read_store();
    tick_timer_ = timers_.every(tick_interval, [this] { tick(); });
}

std::optional<streams::stream_origin> stream_directory::find_known(std::string const& request_id,
                                                                   std::string const& service) const
{
    auto const& origins = cluster_.stream_origins();
    if (auto known = origins.find(request_id))
        return known;
    auto const version = origins.only_version(timers_.now(), service);
    if (!version)
        return std::nullopt;
    return streams::stream_origin{streams::stream_key(request_id), service, *version};
}

void stream_directory::find(std::string const& request_id, std::string const& service,
                            std::function<void(stream_lookup const&)> callback)
{
    if (auto const known = find_known(request_id, service))
    {
        callback({known, false});
        return;
    }
    // The instance at which the stream began may have to tell its relay first.
    auto const lookup_time = write_time + cluster_.peer_table().local_report_interval();
    waiting_.push_back({request_id, service, timers_.now() + lookup_time, std::move(callback)});
    read_store();
}

void stream_directory::read_store()
{
    if (std::exchange(is_reading_, true))
        return;
    read_timer_ = {};
    platform_.read_streams(cluster_.settings().instance,
                           [this](std::optional<streams::stored_origins> const& stored)
                           { handle_stored(stored); });
}

void stream_directory::handle_stored(std::optional<streams::stored_origins> const& stored)
{
    is_reading_ = false;
    last_read_failed_ = !stored;
    if (stored)
        cluster_.stream_origins().add_stored(timers_.now(), *stored);
    store_was_read_ = store_was_read_ || stored;
    end_lookups();
    if (!waiting_.empty())
        read_timer_ = timers_.after(read_interval, [this] { read_store(); });
    else if (!store_was_read_)
        read_timer_ = timers_.after(first_read_interval, [this] { read_store(); });
}

void stream_directory::end_lookups()
{
    auto const now = timers_.now();
    std::vector<waiting_lookup> still_waiting;
    // A callback may begin another lookup.
    for (auto& it : std::exchange(waiting_, {}))
    {
        auto const known = find_known(it.request_id, it.service);
        if (known || now >= it.until)
            it.callback({known, last_read_failed_});
        else
            still_waiting.push_back(std::move(it));
    }
    waiting_.insert(waiting_.end(), std::make_move_iterator(still_waiting.begin()),
                    std::make_move_iterator(still_waiting.end()));
}

void stream_directory::tick()
{
    end_lookups();
    if (!store_was_read_ || !writes_store_())
        return;
    write_versions();
    write_origins();
}

void stream_directory::write_versions()
{
    auto versions = cluster_.stream_origins().versions(timers_.now());
    if (is_writing_versions_ || versions == written_versions_)
        return;
    is_writing_versions_ = true;
    platform_.write_stream_versions(cluster_.settings().instance, versions,
                                    [this, versions](append_outcome outcome)
                                    {
                                        is_writing_versions_ = false;
                                        if (outcome == append_outcome::accepted)
                                            written_versions_ = versions;
                                    });
}

void stream_directory::write_origins()
{
    if (is_writing_origins_)
        return;
    auto const record = cluster_.stream_origins().next_record(timers_.now());
    if (!record)
        return;
    is_writing_origins_ = true;
    platform_.write_stream_origins(cluster_.settings().instance, *record,
                                   [this](append_outcome outcome)
                                   {
                                       is_writing_origins_ = false;
                                       if (outcome != append_outcome::accepted)
                                           cluster_.stream_origins().record_failed();
                                   });
}

} // namespace savorymount::gateway
