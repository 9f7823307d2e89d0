#include <savorymount/gateway/stream_directory.hpp>

#include <utility>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;

// Between two writes of origins. What was not written when all instances end is not known later.
constexpr base::duration tick_interval = 100ms;
constexpr base::duration read_interval = 50ms;
// Until the store answers for the first time; all instances may start during its outage.
constexpr base::duration first_read_interval = 500ms;
// Longer than an instance takes to write an origin that it knows.
constexpr base::duration write_time = 400ms;
// A stream that goes on after a longer pause is late.
constexpr base::duration max_confirmation_time = 200ms;

} // namespace

std::string_view to_string(origin_source source)
{
    switch (source)
    {
    case origin_source::recorded:
        return "recorded";
    case origin_source::only_version:
        return "only_version";
    case origin_source::unknown:
        break;
    }
    return "unknown";
}

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

stream_lookup stream_directory::find_known(waiting_lookup const& lookup) const
{
    auto const& origins = cluster_.stream_origins();
    if (auto known = origins.find(lookup.request_id))
        return {std::move(known), origin_source::recorded, false};
    auto const only = origins.only_version(timers_.now(), lookup.asked_at, lookup.services);
    if (!only)
        return {};
    return {streams::stream_origin{streams::stream_key(lookup.request_id), only->service,
                                   only->software_version},
            origin_source::only_version, false};
}

void stream_directory::find(std::string const& request_id, std::set<std::string> const& services,
                            std::function<void(stream_lookup const&)> callback)
{
    auto const now = timers_.now();
    // The instance at which the stream began may have to tell its relay first.
    auto const lookup_time = write_time + cluster_.peer_table().local_report_interval();
    waiting_lookup lookup{request_id, services, now, now + lookup_time, std::move(callback)};
    if (auto const known = find_known(lookup); known.origin)
    {
        confirm_upstreams([known, callback = std::move(lookup.callback)] { callback(known); });
        return;
    }
    waiting_.push_back(std::move(lookup));
    platform_.read_upstreams();
    read_store();
}

void stream_directory::confirm_upstreams(std::function<void()> callback)
{
    confirmations_.push_back({timers_.now(), std::move(callback)});
    platform_.read_upstreams();
}

void stream_directory::upstreams_unreadable(base::time_point sent_at)
{
    // The instance goes on with what it knows, as without the store in general.
    end_confirmations(sent_at);
}

bool stream_directory::upstreams_read_since(base::time_point time) const
{
    auto const read_until = cluster_.stream_origins().upstreams_complete_until();
    return read_until && *read_until >= time;
}

void stream_directory::end_confirmations(base::time_point asked_before)
{
    std::vector<waiting_confirmation> still_waiting;
    // A callback may ask for another one.
    for (auto& it : std::exchange(confirmations_, {}))
    {
        if (it.asked_at <= asked_before)
            it.callback();
        else
            still_waiting.push_back(std::move(it));
    }
    confirmations_.insert(confirmations_.end(), std::make_move_iterator(still_waiting.begin()),
                          std::make_move_iterator(still_waiting.end()));
}

void stream_directory::upstreams_read(base::time_point complete_until)
{
    cluster_.stream_origins().upstreams_read(complete_until);
    end_confirmations(complete_until);
    end_lookups();
}

void stream_directory::read_store()
{
    if (std::exchange(is_reading_, true))
        return;
    read_timer_ = {};
    platform_.read_streams(
        cluster_.settings().instance,
        [this, asked_at = timers_.now()](std::optional<streams::stored_origins> const& stored)
        { handle_stored(asked_at, stored); });
}

void stream_directory::handle_stored(base::time_point asked_at,
                                     std::optional<streams::stored_origins> const& stored)
{
    is_reading_ = false;
    last_read_failed_ = !stored;
    if (stored)
        cluster_.stream_origins().add_stored(timers_.now(), asked_at, *stored);
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
        auto const known = find_known(it);
        bool const list_is_read = upstreams_read_since(it.asked_at);
        if (known.origin && list_is_read)
            it.callback(known);
        else if (known.origin)
            confirm_upstreams([known, callback = std::move(it.callback)] { callback(known); });
        else if (now >= it.until)
            it.callback({std::nullopt, origin_source::unknown, last_read_failed_ || !list_is_read});
        else
            still_waiting.push_back(std::move(it));
    }
    waiting_.insert(waiting_.end(), std::make_move_iterator(still_waiting.begin()),
                    std::make_move_iterator(still_waiting.end()));
}

void stream_directory::tick()
{
    end_confirmations(timers_.now() - max_confirmation_time);
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
