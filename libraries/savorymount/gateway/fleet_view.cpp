#include <savorymount/gateway/fleet_view.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;

// A healthy store answers at least this often.
constexpr base::duration store_freshness = 1800ms;
// Entries that lapsed while the list was away come back within this time.
constexpr base::duration store_return = 2500ms;
// How long a version may have been named when an instance that starts hears of it.
constexpr base::duration unheard_time = 3s;
// What an instance last told of its use of upstreams counts for this long.
constexpr base::duration peer_use_lifetime = 2s;
constexpr base::duration crash_memory = 60s;
// How long a crash is told to the other instances, so that a lost datagram does not matter.
constexpr base::duration crash_telling = 3s;
constexpr double burst_after_restart = 0.3;
// Parts of the time in which a leaving upstream must be known. Many instances read less often,
// since their calls add up at the store.
constexpr double list_interval_part = 0.35;
constexpr double longer_list_interval_part = 0.45;
constexpr std::size_t few_instances = 8;
// The store must be heard of often enough to count as fresh.
constexpr base::duration longest_list_interval = 1400ms;
// Instances that share the slack of the retries at least, until all of them are known.
constexpr std::size_t least_instances = 4;

limits::rate_limit contract_of(configuration::workspace_account const& account,
                               base::duration window)
{
    return {static_cast<double>(account.rate), static_cast<double>(account.burst), window};
}

} // namespace

fleet_view::fleet_view(gateway_settings const& settings, base::time_point now)
    : settings_(settings), started_at_(now), roster_(settings.instance, {}),
      quarantine_(retries::crash_quarantine_options{.quarantine_duration = crash_memory})
{
}

bool fleet_view::adopt(base::time_point now, configuration::deployment data)
{
    if (deployment_ && data.version <= deployment_->data().version)
        return false;
    for (auto const& it : data.workspaces)
    {
        auto const contract = contract_of(it, settings_.quota_window);
        auto const part = settings_.first_start ? 1.0 : burst_after_restart;
        auto const [bucket, added] = buckets_.try_emplace(it.name, now, contract, part);
        if (!added)
            bucket->second.set_limit(now, contract);
    }
    deployment_ = std::make_shared<configuration::deployment_index>(std::move(data));
    return true;
}

void fleet_view::set_settings(base::time_point now, gateway_settings settings)
{
    settings_ = std::move(settings);
    if (!deployment_)
        return;
    for (auto const& it : deployment_->data().workspaces)
        buckets_.at(it.name).set_limit(now, contract_of(it, settings_.quota_window));
}

void fleet_view::upstream_listed(base::time_point now, membership::upstream_record record)
{
    auto const id = record.id;
    if (upstreams_.apply_listing(now, std::move(record)))
        parts_.invalidate_engine(id);
}

void fleet_view::upstream_unlisted(base::time_point now, std::string const& id)
{
    upstreams_.remove_listing(now, id, store_was_away(now));
    if (upstreams_.find(id) == nullptr)
        parts_.invalidate_engine(id);
}

void fleet_view::weights_named(base::time_point now, std::string const& model,
                               std::uint64_t version)
{
    bool const first = weights_.newest_version(model) == 0 && !settings_.first_start;
    weights_.add_version(now, model, version, first ? unheard_time : base::duration::zero());
}

retries::retry_quota& fleet_view::retries(std::string const& service)
{
    auto const [it, added] = retries_.try_emplace(service, settings_.retries);
    if (added)
        it->second.set_instance_count(std::max(roster_.instance_count(), least_instances));
    return it->second;
}

limits::shared_bucket* fleet_view::bucket(std::string const& workspace)
{
    auto const it = buckets_.find(workspace);
    return it == buckets_.end() ? nullptr : &it->second;
}

bool fleet_view::store_is_fresh(base::time_point now) const
{
    return store_answered_at_ && now - *store_answered_at_ < store_freshness;
}

bool fleet_view::store_was_away(base::time_point now) const
{
    return store_failed_at_ && now - *store_failed_at_ < store_return;
}

std::optional<base::duration> fleet_view::store_age(base::time_point now) const
{
    if (!store_answered_at_)
        return std::nullopt;
    return now - *store_answered_at_;
}

void fleet_view::upstream_crashed(base::time_point now, std::string const& digest,
                                  std::string const& upstream)
{
    quarantine_.record_crash(now, digest, upstream);
    own_crashes_.push_back({now, {digest, upstream}});
}

void fleet_view::parts_sent(base::time_point now, std::vector<std::uint64_t> const& digests,
                            std::string const& engine)
{
    for (std::size_t i = 0; i < digests.size(); ++i)
    {
        bool const unknown = parts_.record_assignment(now, digests[i], engine);
        bool const shared = i + 1 < digests.size();
        if (unknown && shared)
            untold_reads_[engine].push_back(digests[i]);
    }
}

void fleet_view::take_use(base::time_point now, membership::peer_report const& report)
{
    for (auto const& [workspace, total] : report.admitted_tokens)
    {
        if (auto* const it = bucket(workspace))
            it->apply_report(now, report.incarnation, now - report.uptime, total);
    }
    upstreams_.set_peer_use(report.instance, report.upstream_use);
    for (auto const& [engine, digests] : report.assigned_prefixes)
    {
        for (auto const digest : digests)
            parts_.record_assignment(now, digest, engine);
    }
}

void fleet_view::take_report(base::time_point now, membership::peer_report const& report)
{
    if (!roster_.apply_report(now, report))
        return;
    if (!report.partial)
        take_use(now, report);
    for (auto const& it : report.weight_loads)
    {
        if (it.draining)
        {
            upstreams_.set_draining(it.upstream, now + it.remaining);
            continue;
        }
        upstreams_.weights_observed(it.upstream, it.model, it.version);
        upstreams_.set_loading(it.upstream, now + it.remaining);
    }
    for (auto const& it : report.crashes)
        quarantine_.record_crash(now, it.request_digest, it.upstream);
}

membership::peer_report fleet_view::make_report(base::time_point now, std::uint64_t sequence,
                                                bool partial)
{
    membership::peer_report out;
    out.instance = settings_.instance;
    out.incarnation = settings_.incarnation;
    out.sequence = sequence;
    out.partial = partial;
    out.uptime = std::chrono::duration_cast<std::chrono::milliseconds>(now - started_at_);
    while (!own_crashes_.empty() && now - own_crashes_.front().first > crash_telling)
        own_crashes_.pop_front();
    for (auto const& it : own_crashes_)
        out.crashes.push_back(it.second);
    if (partial)
        return out;
    for (auto const& [workspace, bucket] : buckets_)
        out.admitted_tokens[workspace] = bucket.admitted_total();
    out.upstream_use = upstreams_.local_use();
    out.assigned_prefixes = std::exchange(untold_reads_, {});
    return out;
}

base::duration fleet_view::list_interval() const
{
    auto const part =
        roster_.instance_count() > few_instances ? longer_list_interval_part : list_interval_part;
    return std::min(std::chrono::duration_cast<base::duration>(settings_.drain_bound * part),
                    longest_list_interval);
}

void fleet_view::tick(base::time_point now)
{
    roster_.remove_expired(now);
    upstreams_.expire(now);
    auto const instances = roster_.instance_count();
    auto const silent = roster_.silent_count(now);
    for (auto& [workspace, bucket] : buckets_)
        bucket.set_instances(now, instances, silent);
    for (auto& [service, allowance] : retries_)
    {
        allowance.set_options(settings_.retries);
        allowance.set_instance_count(std::max(instances, least_instances));
    }
    for (auto const& [instance, peer] : roster_.peers())
    {
        if (now - peer.last_seen_at > peer_use_lifetime)
            upstreams_.set_peer_use(instance, {});
    }
}

} // namespace savorymount::gateway
