#include <savorymount/gateway/cluster_state.hpp>
#include <savorymount/runtime/task_timer.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;

// Longer than the store holds a read of the configuration open.
constexpr base::duration max_configuration_age = 1800ms;
// After the store came back from an older copy, operators write again what it lacks within this
// time.
constexpr base::duration store_rewrite_time = 2500ms;
// An instance that started this long ago has the newest configuration, unless the store lacks it.
constexpr base::duration startup_time = 10s;
// Age at the start of a weight version that is found then; its time of publication is unknown.
// It leaves a started instance 2.5 s in which it uses engines with older weights.
constexpr base::duration assumed_version_age = 4s;
// An entry of another writer may name any version, and the newest one is never forgotten.
constexpr std::uint64_t max_unseen_versions = 1000;
constexpr base::duration crash_quarantine_time = 60s;
// A crash is reported repeatedly for this long, so that a lost datagram does not matter.
constexpr base::duration crash_report_time = 3s;
// A report fits into one datagram.
constexpr std::size_t max_reported_losses = 20;
constexpr std::size_t max_reported_sound_parts = 40;
constexpr std::size_t max_reported_limits = 40;
constexpr std::size_t max_reported_streams = 100;
// The process runs at least every 50 ms unless it or its machine was suspended.
constexpr base::duration max_time_between_runs = 1s;
constexpr double initial_fill_after_restart = 0.3;
// Ratio of the poll interval to the maximum drain time. Large deployments poll less often to limit
// the load on the store.
constexpr double poll_interval_ratio = 0.35;
constexpr double large_deployment_poll_interval_ratio = 0.45;
constexpr std::size_t small_deployment_instances = 8;
// Longer intervals would make the configuration seem outdated between two reads.
constexpr base::duration max_poll_interval = 1400ms;
// Lower bound for the number of instances that share the retry slack, used until all are known.
constexpr std::size_t min_instances = 4;

constexpr base::duration version_observation_interval = 1s;
constexpr base::duration stream_lifetime_margin = 1s;

std::chrono::milliseconds to_ms(base::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

/// How long a caller may resume a stream: its own time limit may be longer than the route's.
base::duration stream_lifetime(configuration::deployment const& data)
{
    base::duration longest_timeout{};
    for (auto const& it : data.routes)
    {
        if (it.resumable)
            longest_timeout = std::max(longest_timeout, it.timeout);
    }
    return 2 * longest_timeout + version_observation_interval + stream_lifetime_margin;
}

limits::rate_limit rate_limit_of(configuration::workspace_account const& account,
                                 gateway_settings const& settings)
{
    return {static_cast<double>(account.rate), static_cast<double>(account.burst),
            settings.quota_window, settings.quota_overshoot_tokens};
}

} // namespace

cluster_state::cluster_state(gateway_settings const& settings, base::time_point now)
    : settings_(settings), started_at_(now),
      peer_table_(settings.instance, {.local_data_centre = settings.data_centre,
                                      .local_relay_weight = settings.relay_weight}),
      quarantine_(retries::crash_quarantine_options{.quarantine_duration = crash_quarantine_time}),
      upstream_limits_(settings.instance)
{
}

bool cluster_state::apply_deployment(base::time_point now, configuration::deployment data)
{
    stored_configuration_version_ = std::max(stored_configuration_version_, data.version);
    if (deployment_ && data.version <= deployment_->data().version)
        return false;
    for (auto const& it : data.workspaces)
    {
        auto const limit = rate_limit_of(it, settings_);
        auto const initial_fill = settings_.first_start ? 1.0 : initial_fill_after_restart;
        auto const [bucket, added] = buckets_.try_emplace(it.name, now, limit, initial_fill);
        if (!added)
            bucket->second.set_limit(now, limit);
    }
    auto const lifetime = stream_lifetime(data);
    deployment_ = std::make_shared<configuration::deployment_index>(std::move(data));
    route_history_.adopt(now, deployment_, lifetime);
    observe_routes(now);
    return true;
}

void cluster_state::set_settings(base::time_point now, gateway_settings settings)
{
    settings_ = std::move(settings);
    if (!deployment_)
        return;
    for (auto const& it : deployment_->data().workspaces)
        buckets_.at(it.name).set_limit(now, rate_limit_of(it, settings_));
}

void cluster_state::upstream_listed(base::time_point now, membership::upstream_record record)
{
    auto const id = record.id;
    auto const process = membership::process_name(record);
    note_version_of(now, id);
    stream_origins_.version_seen(now, record.service, record.software_version);
    if (upstreams_.apply_listing(now, std::move(record)))
        part_locations_.invalidate_engine(id);
    apply_limit(process);
}

void cluster_state::upstream_unlisted(base::time_point now, std::string const& id,
                                      std::optional<base::time_point> unreadable_at)
{
    note_version_of(now, id);
    upstreams_.remove_listing(now, id, unreadable_at);
    if (upstreams_.find(id) == nullptr)
        part_locations_.invalidate_engine(id);
}

void cluster_state::note_version_of(base::time_point now, std::string const& id)
{
    // Other instances may have used the upstream until now.
    if (auto const* const known = upstreams_.find(id))
        stream_origins_.version_seen(now, known->record.service, known->record.software_version);
}

void cluster_state::set_desired_version(std::string const& model, std::uint64_t version,
                                        std::optional<base::time_point> not_before)
{
    desired_weights_.add_version(model, version, publication_bound(not_before));
}

base::time_point cluster_state::publication_bound(std::optional<base::time_point> not_before) const
{
    auto const assumed_age = settings_.first_start ? base::duration::zero() : assumed_version_age;
    return not_before.value_or(started_at_ - assumed_age);
}

void cluster_state::version_found(std::string const& model, std::uint64_t version,
                                  std::optional<base::time_point> not_before)
{
    auto const newest = desired_weights_.newest_version(model);
    if (version <= newest || version - newest > max_unseen_versions)
        return;
    desired_weights_.add_version(model, version, publication_bound(not_before));
    if (version_found_callback_)
        version_found_callback_(model, version);
}

void cluster_state::stored_versions_read(std::map<std::string, std::uint64_t> const& versions)
{
    // What the first read shows may have been published long before the start.
    auto const not_before = members_known_ ? configuration_complete_until_ : std::nullopt;
    for (auto const& [model, version] : versions)
        version_found(model, version, not_before);
}

bool cluster_state::is_in_use(std::string const& upstream) const
{
    // An entry of a service that is not in use may be of another writer.
    auto const* const state = upstreams_.find(upstream);
    return state != nullptr && deployment_ &&
           deployment_->find_service(state->record.service) != nullptr;
}

void cluster_state::weights_observed(std::string const& upstream, std::string const& model,
                                     std::uint64_t version)
{
    upstreams_.weights_observed(upstream, model, version);
    if (!is_in_use(upstream))
        return;
    auto const process = membership::process_name(upstreams_.find(upstream)->record);
    auto const newest = desired_weights_.newest_version(model);
    if (auto const confirmed = version_claims_.add(model, process, version, newest))
        version_found(model, *confirmed, configuration_complete_until_);
}

void cluster_state::load_reported(std::string const& upstream, std::string const& model,
                                  std::uint64_t version)
{
    upstreams_.weights_observed(upstream, model, version);
    if (is_in_use(upstream))
        version_found(model, version, configuration_complete_until_);
}

std::optional<std::uint64_t> cluster_state::oldest_shared_version(base::time_point now,
                                                                  std::string const& model) const
{
    // A request that continues while its engine loads newer weights keeps the salt of the older
    // version, and the newer weights may make parts under it. An instance that knows all orders
    // knows which engines that concerns. Without the orders, it can rule it out only for the newest
    // version.
    if (knows_orders(now))
        return 0;
    if (!knows_operators_records(now))
        return std::nullopt;
    return desired_weights_.newest_version(model);
}

bool cluster_state::may_fetch_parts(base::time_point now, std::string const& engine,
                                    std::string const& model, std::uint64_t version) const
{
    auto const oldest = oldest_shared_version(now, model);
    auto const* const state = upstreams_.find(engine);
    return oldest && version >= *oldest && state != nullptr &&
           state->keeps_weights(now, model, version);
}

void cluster_state::set_leading(base::time_point now, bool leads)
{
    if (leads)
        leader_watch_.leads(now, settings_.instance);
    else
        leader_watch_.leads_no_more(settings_.instance);
}

bool cluster_state::knows_orders(base::time_point now) const
{
    auto const leader = leader_watch_.settled_leader(now);
    if (!leader || *leader == settings_.instance)
        return leader.has_value();
    auto const& peers = peer_table_.peers();
    auto const it = peers.find(*leader);
    return it != peers.end() && !peer_table_.is_silent(now, it->second);
}

retries::retry_quota& cluster_state::retry_quota(std::string const& service)
{
    auto const [it, added] = retry_quotas_.try_emplace(service, settings_.retries);
    if (added)
        it->second.set_instance_count(std::max(peer_table_.instance_count(), min_instances));
    return it->second;
}

limits::shared_bucket* cluster_state::bucket(std::string const& workspace)
{
    auto const it = buckets_.find(workspace);
    return it == buckets_.end() ? nullptr : &it->second;
}

void cluster_state::store_restored(base::time_point now)
{
    store_restored_at_ = now;
    stream_origins_.upstreams_uncertain(now + store_rewrite_time);
    configuration_complete_until_.reset();
    stored_configuration_version_ = 0;
}

bool cluster_state::knows_operators_records(base::time_point now) const
{
    bool const is_current = configuration_complete_until_ &&
                            now - *configuration_complete_until_ < max_configuration_age;
    bool const store_is_complete =
        !store_restored_at_ || now - *store_restored_at_ > store_rewrite_time;
    return is_current && store_is_complete;
}

bool cluster_state::configuration_is_fresh(base::time_point now) const
{
    bool const store_lags =
        deployment_ && stored_configuration_version_ < deployment_->data().version;
    return knows_operators_records(now) && !store_lags && !lags_behind_others();
}

bool cluster_state::lags_behind_others() const
{
    return deployment_ && deployment_->data().version < reported_configuration_version_;
}

bool cluster_state::started_on_outdated_configuration(base::time_point now) const
{
    // Later on, being behind the others for a moment is usual.
    return lags_behind_others() && now - started_at_ < startup_time;
}

std::optional<base::duration> cluster_state::store_age(base::time_point now) const
{
    if (!store_responded_at_)
        return std::nullopt;
    return now - *store_responded_at_;
}

void cluster_state::upstream_crashed(base::time_point now, std::string const& digest,
                                     std::string const& upstream)
{
    quarantine_.record_crash(now, digest, upstream);
    recent_crashes_.push_back({now, {digest, upstream}});
}

void cluster_state::upstream_lost(base::time_point now, retries::upstream_loss loss)
{
    crash_attribution_.record_loss(now, now, std::move(loss));
}

void cluster_state::limit_observed(base::time_point now, base::time_point sent_at,
                                   membership::upstream_record const& upstream,
                                   std::optional<double> limit)
{
    auto const process = membership::process_name(upstream);
    upstream_limits_.record_response(now, sent_at, process, limit);
    apply_limit(process);
}

void cluster_state::request_sent(base::time_point now, membership::upstream_record const& upstream,
                                 routing::request_size const& size)
{
    upstreams_.request_sent(now, upstream.id, size);
    auto const process = membership::process_name(upstream);
    upstream_limits_.record_sent(now, process);
    apply_limit(process);
}

void cluster_state::request_not_sent(membership::upstream_record const& upstream)
{
    auto const process = membership::process_name(upstream);
    upstream_limits_.withdraw_sent(process);
    apply_limit(process);
}

bool cluster_state::is_listed(std::string const& process) const
{
    auto const* const state = upstreams_.find(membership::upstream_of(process));
    return state != nullptr && membership::process_name(state->record) == process;
}

void cluster_state::apply_limit(std::string const& process)
{
    auto const next_request_at = upstream_limits_.next_request_at(process);
    if (is_listed(process))
        upstreams_.set_limited(membership::upstream_of(process),
                               next_request_at.value_or(base::time_point{}));
}

void cluster_state::update_limit_shares(base::time_point now)
{
    upstream_limits_.remove_expired(now, [this](std::string const& it) { return is_listed(it); });
    if (!members_known_ || limit_shares_of_ == peer_table_.change_count())
        return;
    limit_shares_of_ = peer_table_.change_count();
    upstream_limits_.set_instances(peer_table_.instance_names());
    for (auto const& it : upstream_limits_.upstreams())
        apply_limit(it);
}

void cluster_state::record_sent_parts(base::time_point now,
                                      std::vector<std::uint64_t> const& digests,
                                      std::string const& engine)
{
    for (std::size_t i = 0; i < digests.size(); ++i)
    {
        bool const unknown = part_locations_.record_assignment(now, digests[i], engine);
        bool const shared = i + 1 < digests.size();
        if (unknown && shared)
            unreported_prefills_[engine].push_back(digests[i]);
    }
}

void cluster_state::apply_full_report(base::time_point now, membership::peer_report const& report)
{
    bool const is_direct =
        !peer_table_.uses_relays() || report.data_centre == settings_.data_centre;
    for (auto const& [workspace, total] : report.admitted_tokens)
    {
        if (auto* const it = bucket(workspace))
            it->apply_report(now, report.incarnation, now - report.uptime, total, is_direct);
    }
    upstreams_.set_peer_use(report.instance, report.upstream_use);
    for (auto const& [engine, digests] : report.assigned_prefixes)
    {
        for (auto const digest : digests)
            part_locations_.record_assignment(now, digest, engine);
    }
}

bool cluster_state::apply_report(base::time_point now, membership::peer_report const& report)
{
    observe_time(now);
    if (!peer_table_.apply_report(now, report))
        return false;
    reported_configuration_version_ =
        std::max(reported_configuration_version_, report.configuration_version);
    if (!report.partial)
        apply_full_report(now, report);
    apply_weight_loads(now, report);
    apply_notices(now, report);
    return true;
}

void cluster_state::apply_weight_loads(base::time_point now, membership::peer_report const& report)
{
    if (report.lease)
        leader_watch_.leads(now, report.instance);
    else
        leader_watch_.leads_no_more(report.instance);
    for (auto const& it : report.weight_loads)
    {
        if (it.draining)
        {
            upstreams_.set_draining(it.upstream, now + it.remaining);
            continue;
        }
        load_ordered(it.upstream, it.model, it.version);
        if (it.ordered)
            continue;
        load_reported(it.upstream, it.model, it.version);
        upstreams_.set_loading(it.upstream, now + it.remaining);
    }
}

void cluster_state::apply_notices(base::time_point now, membership::peer_report const& report)
{
    for (auto const& it : report.crashes)
        quarantine_.record_crash(now, it.request_digest, it.upstream);
    for (auto const& it : report.losses)
        crash_attribution_.record_loss(now, now - it.age, it.loss, false);
    for (auto const& it : report.sound_parts)
        crash_attribution_.record_completion(now, now - it.age, {it.part}, false);
    // The report was under way for up to this time. A limit counts as of the latest possible time,
    // its end as of the earliest one.
    auto const delay = now - earliest_arrival(now) + peer_table_.report_delay();
    for (auto const& it : report.limits)
    {
        auto const learned_at = now - it.age - (it.notice.limit ? base::duration::zero() : delay);
        upstream_limits_.apply_notice(now, learned_at, it.notice);
        apply_limit(it.notice.upstream);
    }
}

membership::peer_report cluster_state::make_report(base::time_point now, std::uint64_t sequence,
                                                   bool partial)
{
    membership::peer_report out;
    out.instance = settings_.instance;
    out.incarnation = settings_.incarnation;
    out.data_centre = settings_.data_centre;
    out.relay_weight = settings_.relay_weight;
    out.configuration_version = deployment_ ? deployment_->data().version : 0;
    out.sequence = sequence;
    out.partial = partial;
    out.uptime = std::chrono::duration_cast<std::chrono::milliseconds>(now - started_at_);
    while (!recent_crashes_.empty() && now - recent_crashes_.front().first > crash_report_time)
        recent_crashes_.pop_front();
    for (auto const& it : recent_crashes_)
        out.crashes.push_back(it.second);
    for (auto& [age, loss] : crash_attribution_.reportable_losses(now, max_reported_losses))
        out.losses.push_back({std::move(loss), to_ms(age)});
    for (auto const& [age, part] :
         crash_attribution_.reportable_completions(now, max_reported_sound_parts))
        out.sound_parts.push_back({part, to_ms(age)});
    for (auto& [age, notice] : upstream_limits_.reportable_notices(now, max_reported_limits))
        out.limits.push_back({std::move(notice), to_ms(age)});
    if (partial)
        return out;
    for (auto const& [workspace, bucket] : buckets_)
        out.admitted_tokens[workspace] = bucket.admitted_total();
    out.upstream_use = upstreams_.local_use();
    out.streams = stream_origins_.take_unreported(now, max_reported_streams);
    out.assigned_prefixes = std::exchange(unreported_prefills_, {});
    return out;
}

base::duration cluster_state::upstream_poll_interval() const
{
    auto const ratio = peer_table_.instance_count() > small_deployment_instances
                           ? large_deployment_poll_interval_ratio
                           : poll_interval_ratio;
    return std::min(std::chrono::duration_cast<base::duration>(settings_.max_drain_time * ratio),
                    max_poll_interval);
}

void cluster_state::observe_time(base::time_point now)
{
    auto const last_run_at = std::exchange(last_run_at_, now).value_or(now);
    auto const pause = now - last_run_at;
    if (pause <= max_time_between_runs)
        return;
    resumed_at_ = now;
    paused_at_ = last_run_at;
    if (resumed_callback_)
        resumed_callback_(pause);
    leader_watch_.forget();
    peer_table_.process_resumed(now);
    upstream_limits_.process_resumed(now);
    for (auto const& it : upstream_limits_.upstreams())
        apply_limit(it);
    for (auto& [workspace, bucket] : buckets_)
        bucket.process_resumed(now);
}

base::time_point cluster_state::earliest_arrival(base::time_point now) const
{
    bool const catches_up = resumed_at_ && now - *resumed_at_ < time_to_catch_up;
    return catches_up ? paused_at_ : now;
}

void cluster_state::observe_routes(base::time_point now)
{
    runtime::task_timer const timer("route history");
    route_history_.expire(now);
    if (!deployment_)
        return;
    stream_origins_.set_lifetime(route_history_.lifetime(now));
    stream_origins_.set_shared_services(route_history_.shared_services(now));
}

void cluster_state::observe_versions(base::time_point now)
{
    if (now - versions_observed_at_ < version_observation_interval)
        return;
    versions_observed_at_ = now;
    for (auto const& [id, state] : upstreams_.all())
    {
        stream_origins_.version_seen(now, state.record.service, state.record.software_version);
    }
    observe_routes(now);
    stream_origins_.expire(now);
}

void cluster_state::tick(base::time_point now)
{
    observe_time(now);
    peer_table_.remove_expired(now);
    upstreams_.expire(now);
    observe_versions(now);
    update_limit_shares(now);
    auto const instances = peer_table_.instance_count();
    auto const silent = peer_table_.silent_count(now);
    for (auto& [workspace, bucket] : buckets_)
    {
        bucket.set_instances(now, instances, silent);
        bucket.set_reporting(peer_table_.direct_count(), peer_table_.report_delay());
    }
    for (auto& [service, quota] : retry_quotas_)
    {
        quota.set_options(settings_.retries);
        quota.set_instance_count(std::max(instances, min_instances));
    }
    for (auto const& [instance, peer] : peer_table_.peers())
    {
        if (peer_table_.is_silent(now, peer))
            upstreams_.set_peer_use(instance, {});
    }
}

} // namespace savorymount::gateway
