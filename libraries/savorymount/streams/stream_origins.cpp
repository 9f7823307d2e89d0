#include <savorymount/base/digest.hpp>
#include <savorymount/streams/stream_origins.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::streams
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration min_record_time = 1s;
// Fits into one record of the store with long names of services and versions.
constexpr std::size_t max_origins_per_record = 8'000;
constexpr std::size_t max_pending_origins = 20'000;

} // namespace

std::uint64_t stream_key(std::string_view request_id)
{
    return base::chain_digest(0, request_id);
}

void stream_origins::set_lifetime(base::duration lifetime)
{
    lifetime_ = lifetime;
}

void stream_origins::set_shared_services(std::set<std::string> services)
{
    shared_services_ = std::move(services);
}

void stream_origins::version_seen(base::time_point now, std::string const& service,
                                  std::string const& software_version)
{
    last_seen_[{service, software_version}] = now;
}

void stream_origins::remember(base::time_point now, stream_origin const& origin)
{
    auto const [it, added] = known_.try_emplace(origin.stream, entry{origin, now});
    if (added)
        expiry_order_.emplace_back(now, origin.stream);
}

void stream_origins::stream_began(base::time_point now, std::string_view request_id,
                                  std::string const& service, std::string const& software_version)
{
    version_seen(now, service, software_version);
    stream_origin const origin{stream_key(request_id), service, software_version};
    remember(now, origin);
    for (auto* const pending : {&unreported_, &unrecorded_})
    {
        if (pending->size() < max_pending_origins)
            pending->push_back({now, origin});
    }
}

void stream_origins::add(base::time_point now, stream_origin origin, bool record)
{
    version_seen(now, origin.service, origin.software_version);
    remember(now, origin);
    if (record && unrecorded_.size() < max_pending_origins)
        unrecorded_.push_back({now, std::move(origin)});
}

void stream_origins::add_stored(base::time_point now, base::time_point asked_at,
                                stored_origins const& stored)
{
    for (auto const& it : stored.origins)
        remember(now, it);
    add_version_records(now, stored.versions);
    if (!store_read_at_)
        record_.sequence = stored.last_sequence;
    store_read_at_ = std::max(store_read_at_.value_or(asked_at), asked_at);
}

void stream_origins::add_version_records(base::time_point now,
                                         std::vector<version_record> const& records)
{
    bool const is_first_read = !store_read_at_;
    for (auto const& it : records)
    {
        auto const [known, added] = revisions_.try_emplace(it.instance, it.revision);
        if (!added && std::exchange(known->second, it.revision) == it.revision)
            continue;
        for (auto const& version : it.versions)
        {
            // What served before this process started, it is not known how long ago.
            if (is_first_read)
                last_seen_.try_emplace(version, now);
            last_told_[version] = now;
        }
    }
}

void stream_origins::upstreams_read(base::time_point complete_until)
{
    if (complete_until < upstreams_certain_from_)
        return;
    upstreams_complete_until_ =
        std::max(upstreams_complete_until_.value_or(complete_until), complete_until);
}

void stream_origins::upstreams_uncertain(base::time_point certain_from)
{
    upstreams_certain_from_ = certain_from;
    upstreams_complete_until_.reset();
}

std::optional<stream_origin> stream_origins::find(std::string_view request_id) const
{
    auto const it = known_.find(stream_key(request_id));
    return it == known_.end() ? std::nullopt : std::optional(it->second.origin);
}

std::optional<service_version>
stream_origins::only_version(base::time_point now, base::time_point until,
                             std::set<std::string> const& services) const
{
    bool const knows_upstreams = upstreams_complete_until_ && *upstreams_complete_until_ >= until;
    bool const knows_records = store_read_at_ && *store_read_at_ >= until;
    if (!knows_upstreams || !knows_records)
        return std::nullopt;
    std::optional<service_version> out;
    for (auto const& it : recent_versions(now))
    {
        if (!services.contains(it.service))
            continue;
        if (out)
            return std::nullopt;
        out = it;
    }
    return out;
}

std::set<service_version> stream_origins::recent_versions(base::time_point now) const
{
    std::set<service_version> out;
    for (auto const* const known : {&last_seen_, &last_told_})
    {
        for (auto const& [version, at] : *known)
        {
            if (now - at <= lifetime_)
                out.insert(version);
        }
    }
    return out;
}

std::set<std::string> stream_origins::mixed_services(base::time_point now) const
{
    auto out = shared_services_;
    std::string const* previous = nullptr;
    auto const recent = recent_versions(now);
    for (auto const& it : recent)
    {
        if (previous != nullptr && *previous == it.service)
            out.insert(it.service);
        previous = &it.service;
    }
    return out;
}

std::vector<stream_origin> stream_origins::take_pending(base::time_point now,
                                                        std::deque<pending_origin>& pending,
                                                        std::size_t max_count)
{
    std::vector<stream_origin> out;
    auto const mixed = mixed_services(now);
    if (mixed.empty())
        return out;
    std::erase_if(pending,
                  [&](pending_origin const& it)
                  {
                      bool const is_taken =
                          out.size() < max_count && mixed.contains(it.origin.service);
                      if (is_taken)
                          out.push_back(it.origin);
                      return is_taken;
                  });
    return out;
}

std::vector<stream_origin> stream_origins::take_unreported(base::time_point now,
                                                           std::size_t max_count)
{
    return take_pending(now, unreported_, max_count);
}

base::duration stream_origins::record_time() const
{
    // The last record but one is replaced when its origins have expired.
    return std::max(min_record_time,
                    lifetime_ / (static_cast<std::int64_t>(records_per_instance) - 2));
}

std::optional<origin_record> stream_origins::next_record(base::time_point now)
{
    if (!store_read_at_)
        return std::nullopt;
    bool const is_over = now - record_began_at_ > record_time();
    bool const is_full = record_.origins.size() >= max_origins_per_record;
    if (!record_changed_ && (is_over || is_full))
    {
        record_.origins.clear();
        record_began_at_ = now;
    }
    bool const begins = record_.origins.empty();
    auto const added =
        take_pending(now, unrecorded_, max_origins_per_record - record_.origins.size());
    record_.origins.insert(record_.origins.end(), added.begin(), added.end());
    record_changed_ = record_changed_ || !added.empty();
    if (!std::exchange(record_changed_, false))
        return std::nullopt;
    if (begins)
        ++record_.sequence;
    return record_;
}

std::vector<service_version> stream_origins::versions(base::time_point now) const
{
    std::vector<service_version> out;
    for (auto const& [version, seen_at] : last_seen_)
    {
        if (now - seen_at <= lifetime_)
            out.push_back(version);
    }
    return out;
}

void stream_origins::expire(base::time_point now)
{
    while (!expiry_order_.empty() && now - expiry_order_.front().first > lifetime_)
    {
        known_.erase(expiry_order_.front().second);
        expiry_order_.pop_front();
    }
    for (auto* const pending : {&unreported_, &unrecorded_})
    {
        while (!pending->empty() && now - pending->front().began_at > lifetime_)
            pending->pop_front();
    }
    for (auto* const known : {&last_seen_, &last_told_})
        std::erase_if(*known, [&](auto const& it) { return now - it.second > lifetime_; });
}

} // namespace savorymount::streams
