#pragma once

#include <savorymount/gateway/fleet_view.hpp>
#include <savorymount/gateway/request_outcome.hpp>
#include <savorymount/runtime/metrics.hpp>

#include <string>

namespace savorymount::gateway
{

/// The counters, gauges and histograms of the gateway. docs/OPERATIONS.md lists them.
class gateway_metrics
{
public:
    explicit gateway_metrics(fleet_view& view) : view_(view) {}

    void request_ended(request_outcome const& it);
    void store_answered();
    void store_failed();
    void configuration_adopted(std::uint64_t version);
    void weights_named(std::string const& model, std::uint64_t version);
    void duty_changed(bool held);

    /// The exposition text, with what the process believes at `now`.
    std::string render(base::time_point now);

private:
    void count_request(request_outcome const& it);
    void record_times(request_outcome const& it);
    void count_prompt(request_outcome const& it);
    void show_view(base::time_point now);
    void show_upstreams(base::time_point now);

    fleet_view& view_;
    runtime::metrics metrics_;
};

} // namespace savorymount::gateway
