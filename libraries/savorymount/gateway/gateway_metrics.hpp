#pragma once

#include <savorymount/gateway/cluster_state.hpp>
#include <savorymount/gateway/request_outcome.hpp>
#include <savorymount/runtime/metrics.hpp>

#include <string>

namespace savorymount::gateway
{

/// The counters, gauges and histograms of the gateway. docs/OPERATIONS.md lists them.
class gateway_metrics
{
public:
    explicit gateway_metrics(cluster_state& cluster) : cluster_(cluster) {}

    void request_ended(request_outcome const& it);
    void store_responded();
    void store_failed();
    void configuration_adopted(std::uint64_t version);
    void desired_version_changed(std::string const& model, std::uint64_t version);
    void leadership_changed(bool is_leader);
    void settings_rejected();
    void event_loop_late(base::duration delay);

    /// The metrics in text exposition format, with gauges as of `now`.
    std::string render(base::time_point now);

private:
    void count_request(request_outcome const& it);
    void record_times(request_outcome const& it);
    void count_prompt_tokens(request_outcome const& it);
    void update_cluster_gauges(base::time_point now);
    void update_upstream_gauges(base::time_point now);

    cluster_state& cluster_;
    runtime::metrics metrics_;
};

} // namespace savorymount::gateway
