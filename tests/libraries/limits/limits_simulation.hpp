#pragma once

#include "admission_checker.hpp"
#include "virtual_time_queue.hpp"
#include <savorymount/base/random_source.hpp>
#include <savorymount/limits/agent_list.hpp>
#include <savorymount/limits/bucket_lease.hpp>
#include <savorymount/limits/grant_pool.hpp>
#include <savorymount/limits/lease_directory.hpp>
#include <savorymount/limits/workspace_bucket.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace savorymount::tests
{

enum class fault_kind
{
    /// The process of the agent ends without release; a new process of the same name starts after
    /// the duration.
    kill,
    /// The process of the agent stops for the duration while its clock continues.
    freeze,
    log_unreachable,
    list_unreachable,
    agents_unreachable,
    /// The agent is missing from the list although its process runs.
    unlisted,
    log_down,
    list_down,
    /// Appends succeed but their acknowledgements are lost.
    lose_append_responses,
    /// The agent releases its lease and ends; a new process starts after the duration.
    leave,
    /// List reads of this agent return an unchanged list, which becomes older than the stated
    /// bound.
    list_stale
};

/// The event from which the time of a fault or demand counts.
enum class time_origin
{
    start,
    /// When the log receives the first lease record that follows one of another owner.
    takeover
};

/// Selects an agent by its role when a fault or demand begins.
enum role : unsigned
{
    /// The holder of the newest lease.
    newest_holder = 1000,
    /// The holder of the previous lease.
    previous_holder,
    /// An agent that held neither.
    other_agent,
    every_agent
};

struct fault
{
    fault_kind kind{};
    base::duration at{};
    base::duration length{};
    /// Number or role of an agent.
    unsigned agent = 0;
    time_origin origin = time_origin::start;
};

/// Requests at random times during an interval.
struct demand
{
    base::duration at{};
    base::duration length{};
    /// Mean reserved tokens per request.
    std::uint64_t tokens = 0;
    unsigned requests_per_second = 0;
    unsigned agent = every_agent;
    time_origin origin = time_origin::start;
    /// Used percentage of the reservation; random if empty.
    std::optional<unsigned> used_percent = std::nullopt;
    base::duration max_run_time = std::chrono::seconds(6);
};

struct simulation_plan
{
    std::uint64_t seed = 0;
    unsigned agents = 3;
    std::uint64_t rate = 1000;
    std::uint64_t burst = 5000;
    /// Maximum deviation of the rate of each agent's clock, in thousandths.
    unsigned clock_drift_permille = 0;
    base::duration list_lag = std::chrono::seconds(10);
    base::duration length = std::chrono::seconds(90);
    std::vector<demand> demands;
    std::vector<fault> faults;
};

/// Simulates agents, log, list and network with a virtual clock.
class limits_simulation
{
public:
    explicit limits_simulation(simulation_plan plan);
    ~limits_simulation();

    void run();

    std::vector<admitted_request> admitted_requests() const;

    /// Number of times a bucket was started, and maximum number of agents that considered
    /// themselves owner at the same time.
    unsigned bucket_starts() const { return bucket_starts_; }
    unsigned max_concurrent_owners() const { return max_concurrent_owners_; }
    /// Number of requests that were not admitted.
    std::uint64_t refused() const { return refused_; }

private:
    struct simulated_agent;
    struct log_entry
    {
        std::string id;
        limits::lease_record record;
    };
    struct recorded_admission
    {
        admitted_request request;
        std::uint64_t reserved = 0;
    };

    void start_agent(unsigned number);
    void inject_fault(fault const& it);
    void end_process(unsigned number, fault const& it);
    void remove_from_list(std::string const& id);
    void tick(unsigned number, std::uint64_t process);
    void poll_log(simulated_agent& it);
    void poll_list(simulated_agent& it);
    void append(simulated_agent& it, limits::append_lease const& action);
    void perform_lease_actions(simulated_agent& it,
                               std::vector<limits::lease_action> const& actions);
    void perform_grant_actions(simulated_agent& it);
    /// The processes that hold the newest lease that `it` knows of, as far as it is connected to
    /// them.
    std::vector<simulated_agent const*> reachable_holders(simulated_agent const& it) const;
    void request_grant_from_owner(simulated_agent& it, limits::request_grant const& action);
    void report_usage_to_owner(simulated_agent& it, limits::report_usage const& action);
    struct simulated_request
    {
        std::uint64_t tokens = 0;
        std::uint64_t used = 0;
        base::duration run_time{};
        unsigned attempt = 0;
    };
    void submit(unsigned number, std::uint64_t process, simulated_request request);
    void schedule_events(time_origin origin);
    void start_demand(demand const& it);
    void generate_requests(demand const& it, unsigned number, base::time_point end);
    unsigned resolve_agent(unsigned agent) const;
    /// Runs `callback` for the agent after `delay` and once it is not frozen, if the same process
    /// still runs.
    void deliver(unsigned number, std::uint64_t process, base::duration delay,
                 std::function<void(simulated_agent&)> callback);
    base::time_point local_time(simulated_agent const& it) const;
    base::duration random_delay();
    bool log_available() const;
    bool list_available() const;
    bool connected(simulated_agent const& left, simulated_agent const& right) const;
    limits::agent_list list_at(base::time_point at) const;
    void update_max_owners();

    simulation_plan plan_;
    base::random_source random_;
    virtual_time_queue time_;
    std::vector<std::unique_ptr<simulated_agent>> agents_;
    std::vector<log_entry> log_;
    /// Actual content of the list, by the time of the change.
    std::map<base::time_point, std::set<std::string>> listed_agents_;
    base::time_point log_down_until_{};
    base::time_point list_down_until_{};
    base::time_point append_responses_lost_until_{};
    std::vector<recorded_admission> admissions_;
    std::uint64_t processes_started_ = 0;
    bool takeover_seen_ = false;
    unsigned bucket_starts_ = 0;
    unsigned max_concurrent_owners_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace savorymount::tests
