#pragma once

#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/outbound_client.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tests/soak/fault_plan.hpp>
#include <tests/soak/soak_caller.hpp>
#include <tests/soak/soak_history.hpp>
#include <tests/system/support/process.hpp>
#include <vector>

namespace savorymount::soak
{

/// The programs of one deployment as processes, with a relay before each upstream and one between
/// each gateway and the store. It does what a plan says and notes what it did.
class soak_deployment
{
public:
    soak_deployment(runtime::event_loop& loop, runtime::timer_service& timers,
                    deployment_size const& size);

    /// Does one step; what it breaks is mended after the step's length.
    void apply(planned_fault const& step);

    /// A ready gateway, by a number that the caller draws.
    std::optional<reachable_gateway> ready_gateway(std::uint64_t number) const;
    bool all_ready() const;
    bool mending() const { return mending_ > 0; }

    /// Reads what the upstreams printed, and their reports. Call it once at the end.
    void collect();
    soak_history& history() { return history_; }
    /// Writes the output of every process to a folder.
    void write_logs(std::string const& folder) const;

private:
    struct relay
    {
        std::unique_ptr<tests::process> program;
        runtime::network_address control;
        std::uint16_t port = 0;
    };

    struct gateway
    {
        std::unique_ptr<tests::process> program;
        relay store_link;
        runtime::network_address http;
        runtime::network_address ready;
        bool is_ready = false;
        unsigned failed_checks = 0;
        /// A step is at work on it.
        bool busy = false;
        /// It was asked to end.
        bool ending = false;
    };

    struct upstream
    {
        std::unique_ptr<tests::process> program;
        relay link;
        bool engine = false;
        std::uint16_t port = 0;
        runtime::network_address control;
        std::string id;
        unsigned starts = 0;
        unsigned software = 1;
        std::uint64_t listed_weights = 1;
        bool leaving = false;
        bool busy = false;
        bool link_busy = false;
        /// Restarts after a crash that were noted in the list.
        unsigned crash_restarts = 0;
    };

    relay start_relay(std::uint16_t target);
    void start_gateway(std::size_t index, bool first);
    static std::string software_of(upstream const& it);
    void start_upstream(std::size_t index);
    void list(upstream const& it, std::string const& state);
    void unlist(std::string const& id);
    void configure();
    void name_weights();
    void control(runtime::network_address const& address, nlohmann::json const& body);
    void check_readiness();
    void collect_output(std::string const& id, std::string const& text);

    void kill_gateway(std::size_t index, base::duration length);
    /// Stops a program for a while unless a step is at work on it.
    void pause(tests::process& program, bool& busy, base::duration length);
    void hang_up_gateway(std::size_t index);
    void stop_gateway(std::size_t index);
    void await_exit(std::size_t index, base::time_point since);
    void kill_upstream(std::size_t index, base::duration length);
    void drain_upstream(std::size_t index);
    /// Notes the time in which every upstream of the engines, or of the plain service, leaves.
    void begin_service_gap(bool engines);
    void end_service_gap(bool engines);
    void finish_drain(std::size_t index);
    void end_answers_with_connection(std::size_t index, base::duration length);
    void close_inside_event(std::size_t index);
    void crash_on_part(base::duration length);
    /// Writes the entries of engines that came back after a crash or have loaded other weights.
    void relist_engines();
    void relist_restarts(upstream& it);
    void relist_loaded_weights(upstream& it);
    void disturb_upstream_link(std::size_t index, nlohmann::json const& fault,
                               base::duration length);
    void disturb_store_link(std::size_t index, nlohmann::json const& fault, base::duration length);
    void restore_store(base::duration length);
    void name_limit(std::size_t index, base::duration length);
    void say_leaving(std::size_t index, base::duration length);
    void reject_for_now(std::size_t index, base::duration length);
    void replace_software(std::size_t index);
    void upgrade_during_pause(std::size_t engine, base::duration length);
    void kill_all_gateways(base::duration length);
    /// Notes that a gateway is away or suspended from now until `length` has passed.
    void gateway_outage(base::duration length);
    void disturb_store(std::string const& fault, base::duration length);
    /// Runs `mend` after `delay`.
    void later(base::duration delay, std::function<void()> mend);
    /// Notes that something is wrong from now until `length` has passed.
    void disturbed(base::duration length);

    runtime::timer_service& timers_;
    runtime::outbound_client client_;
    /// Since when no upstream of the engines (true) or of the plain service (false) takes requests.
    std::map<bool, base::time_point> service_gap_since_;
    soak_history history_;
    std::unique_ptr<tests::process> platform_;
    runtime::network_address store_;
    std::vector<gateway> gateways_;
    std::vector<upstream> upstreams_;
    /// Processes that ended, with their output.
    std::vector<std::pair<std::string, std::string>> ended_outputs_;
    std::uint64_t configuration_ = 1;
    std::uint64_t weights_ = 1;
    bool second_key_granted_ = true;
    bool store_busy_ = false;
    bool crashing_ = false;
    int mending_ = 0;
    runtime::timer_service::subscription readiness_timer_;
};

} // namespace savorymount::soak
