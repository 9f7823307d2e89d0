#include <savorymount/gateway/gateway_metrics.hpp>
#include <savorymount/runtime/callback_guard.hpp>

#include <algorithm>
#include <map>

namespace savorymount::gateway
{
namespace
{

double to_seconds(base::duration time)
{
    return std::chrono::duration<double>(time).count();
}

std::uint64_t to_counter_increment(double value)
{
    return static_cast<std::uint64_t>(std::max(value, 0.0));
}

} // namespace

void gateway_metrics::request_ended(request_outcome const& it)
{
    count_request(it);
    record_times(it);
    if (it.prompt_tokens > 0)
        count_prompt_tokens(it);
}

void gateway_metrics::count_request(request_outcome const& it)
{
    metrics_
        .counter("savorymount_requests_total", "Requests by how they ended.",
                 {{"end", std::string(to_string(it.end))},
                  {"status", std::to_string(it.status)},
                  {"route", it.route}})
        .add();
    if (it.refusal_kind)
        metrics_
            .counter(
                "savorymount_refusals_total", "Refused requests by the kind of the reason.",
                {{"reason", std::string(base::to_string(*it.refusal_kind))}, {"route", it.route}})
            .add();
    metrics_
        .counter("savorymount_upstream_sends_total", "Sends of requests to upstreams.",
                 {{"service", it.service}})
        .add(it.attempts);
    metrics_
        .counter("savorymount_upstream_repeats_total",
                 "Sends of requests to upstreams beyond the first.", {{"service", it.service}})
        .add(it.failed_attempts.size());
    metrics_
        .counter("savorymount_upstream_losses_total",
                 "Sends of requests whose upstream's connection was lost while it ran them.",
                 {{"service", it.service}})
        .add(it.lost_attempts.size());
}

void gateway_metrics::record_times(request_outcome const& it)
{
    runtime::metric_labels const labels{{"route", it.route}};
    metrics_
        .histogram("savorymount_request_seconds", "Time from arrival to the end of the answer.",
                   labels)
        .record(to_seconds(it.total_time));
    metrics_
        .histogram("savorymount_admission_wait_seconds",
                   "Time for which requests waited at the gateway for room.", labels)
        .record(to_seconds(it.admission_wait));
    if (it.end != request_end::answered)
        return;
    metrics_
        .histogram("savorymount_first_byte_seconds", "Time to the first byte of the answer.",
                   labels)
        .record(to_seconds(it.time_to_first_byte));
    metrics_
        .histogram("savorymount_expected_wait_seconds",
                   "Wait at the upstream that was expected when it was chosen.", labels)
        .record(to_seconds(it.expected_wait));
}

void gateway_metrics::count_prompt_tokens(request_outcome const& it)
{
    auto const count = [this](char const* source, double tokens)
    {
        metrics_
            .counter(
                "savorymount_prompt_tokens_total",
                "Prompt tokens by whether the engine has to read them or holds or fetches them.",
                {{"source", source}})
            .add(to_counter_increment(tokens));
    };
    count("read", it.uncached_prompt_tokens);
    count("kept", it.prompt_tokens - it.uncached_prompt_tokens);
}

void gateway_metrics::store_responded()
{
    metrics_.counter("savorymount_store_answers_total", "Answers of the platform's store.").add();
}

void gateway_metrics::store_failed()
{
    metrics_.counter("savorymount_store_failures_total", "Failed calls to the platform's store.")
        .add();
}

void gateway_metrics::configuration_adopted(std::uint64_t version)
{
    metrics_.gauge("savorymount_configuration_version", "Version of the configuration in force.")
        .set(static_cast<double>(version));
}

void gateway_metrics::desired_version_changed(std::string const& model, std::uint64_t version)
{
    metrics_
        .gauge("savorymount_weights_wanted_version", "Newest weight version that was named.",
               {{"model", model}})
        .set(static_cast<double>(version));
}

void gateway_metrics::leadership_changed(bool is_leader)
{
    metrics_
        .gauge("savorymount_duty_held", "1 while this instance holds the duty to order weights.")
        .set(is_leader ? 1 : 0);
    metrics_
        .counter("savorymount_duty_changes_total", "Changes of the duty to order weights.",
                 {{"to", is_leader ? "held" : "lost"}})
        .add();
}

void gateway_metrics::settings_rejected()
{
    metrics_
        .counter("savorymount_settings_rejected_total",
                 "Changed settings that could not be read and changed nothing.")
        .add();
}

void gateway_metrics::event_loop_late(base::duration delay)
{
    metrics_
        .histogram("savorymount_event_loop_late_seconds",
                   "Delays of the event loop of a quarter of a second or more, one a second.")
        .record(to_seconds(delay));
}

std::string gateway_metrics::render(base::time_point now)
{
    update_cluster_gauges(now);
    update_upstream_gauges(now);
    return metrics_.render();
}

void gateway_metrics::update_cluster_gauges(base::time_point now)
{
    auto const age = cluster_.store_age(now).value_or(base::duration(-1));
    metrics_
        .gauge("savorymount_store_age_seconds",
               "Age of the newest answer of the platform's store; negative before the first.")
        .set(to_seconds(age));
    metrics_
        .gauge("savorymount_callback_failures",
               "Unexpected errors that each ended one callback since the process started.")
        .set(static_cast<double>(runtime::callback_failures()));
    metrics_
        .gauge("savorymount_crash_records",
               "Requests for which a lost upstream is recorded, by this or another instance.")
        .set(static_cast<double>(cluster_.quarantine().size()));
    metrics_
        .gauge("savorymount_prompt_parts_refused",
               "Combinations of prompt parts that are refused since upstreams crash on them.")
        .set(static_cast<double>(cluster_.crash_attribution().causes(now).size()));
    auto& peers = cluster_.peer_table();
    metrics_.gauge("savorymount_instances", "Known instances, this one included.")
        .set(static_cast<double>(peers.instance_count()));
    metrics_.gauge("savorymount_instances_silent", "Known instances that are not heard of.")
        .set(static_cast<double>(peers.silent_count(now)));
    if (!cluster_.deployment())
        return;
    for (auto const& it : cluster_.deployment()->data().workspaces)
    {
        if (auto* const bucket = cluster_.bucket(it.name))
            metrics_
                .gauge("savorymount_bucket_level_tokens",
                       "Tokens that a workspace may use now; negative when too many were used.",
                       {{"workspace", it.name}})
                .set(bucket->level(now));
    }
}

void gateway_metrics::update_upstream_gauges(base::time_point now)
{
    // NOTE: A service whose last upstream is removed keeps its gauges, with the value 0.
    struct service_counts
    {
        std::size_t listed = 0;
        std::size_t backing_off = 0;
        double active_requests = 0;
    };
    std::map<std::string, service_counts> counts;
    if (cluster_.deployment())
    {
        for (auto const& [name, service] : cluster_.deployment()->data().services)
            counts[name];
    }
    for (auto const& [id, state] : cluster_.upstreams().all())
    {
        auto& it = counts[state.record.service];
        it.listed += 1;
        it.backing_off += now < state.backoff_until ? 1 : 0;
        it.active_requests += state.active_requests(now);
    }
    for (auto const& [service, it] : counts)
    {
        runtime::metric_labels const labels{{"service", service}};
        metrics_.gauge("savorymount_upstreams", "Listed upstreams.", labels)
            .set(static_cast<double>(it.listed));
        metrics_
            .gauge("savorymount_upstreams_avoided", "Upstreams that get no new request for now.",
                   labels)
            .set(static_cast<double>(it.backing_off));
        metrics_
            .gauge("savorymount_upstream_requests",
                   "Requests that run or wait at upstreams, of all instances.", labels)
            .set(it.active_requests);
    }
}

} // namespace savorymount::gateway
