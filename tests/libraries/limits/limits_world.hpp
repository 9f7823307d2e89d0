#pragma once

#include "admission_checker.hpp"
#include "virtual_time_queue.hpp"
#include <savorymount/base/random_source.hpp>
#include <savorymount/limits/agent_list.hpp>
#include <savorymount/limits/bucket_lease.hpp>
#include <savorymount/limits/grant_account.hpp>
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
    /// The agent's process ends; a new one with the same name starts after the duration.
    kill,
    /// The agent's process does nothing for the duration; its clock goes on.
    freeze,
    cut_from_log,
    cut_from_list,
    cut_from_agents,
    /// The list lacks the agent although its process runs.
    unlisted,
    log_down,
    list_down,
    /// Appends take effect but their acknowledgements are lost.
    lose_append_answers,
    /// The agent leaves cleanly; a new process starts after the duration.
    leave,
    /// The list that this agent reads stays as it is: lag beyond the stated bound.
    list_frozen
};

/// What the time of a fault or demand counts from.
enum class anchor
{
    start,
    /// The moment at which the log takes the first lease record that follows another owner's.
    takeover
};

/// Stands for an agent by its role at the moment when a fault or demand begins.
enum role : unsigned
{
    /// The holder of the newest lease.
    newest_holder = 1000,
    /// The holder of the lease before.
    previous_holder,
    /// An agent that held neither.
    bystander,
    every_agent
};

struct fault
{
    fault_kind kind{};
    base::duration at{};
    base::duration length{};
    /// An agent's number or a role.
    unsigned agent = 0;
    anchor from = anchor::start;
};

/// Requests at random moments during an interval.
struct demand
{
    base::duration at{};
    base::duration length{};
    /// Mean reserved tokens of one request.
    std::uint64_t tokens = 0;
    unsigned per_second = 0;
    unsigned agent = every_agent;
    anchor from = anchor::start;
    /// Part of the reservation that is used; any part if empty.
    std::optional<unsigned> used_percent = std::nullopt;
    base::duration longest_run = std::chrono::seconds(6);
};

struct history_plan
{
    std::uint64_t seed = 0;
    unsigned agents = 3;
    std::uint64_t rate = 1000;
    std::uint64_t burst = 5000;
    /// Each agent's clock is off by up to this many thousandths.
    unsigned drift_permille = 0;
    base::duration list_lag = std::chrono::seconds(10);
    base::duration length = std::chrono::seconds(90);
    std::vector<demand> demands;
    std::vector<fault> faults;
};

/// Agents, owners, log, list and network in one process under a virtual clock.
class limits_world
{
public:
    explicit limits_world(history_plan plan);
    ~limits_world();

    void run();

    std::vector<admitted_request> history() const;

    /// How often a bucket was started, and the most agents that believed to own at once.
    unsigned starts() const { return starts_; }
    unsigned most_owners() const { return most_owners_; }
    /// Requests refused or without owner, and admitted.
    std::uint64_t refused() const { return refused_; }

private:
    struct node;
    struct log_entry
    {
        std::string id;
        limits::lease_record record;
    };
    struct admission_entry
    {
        admitted_request request;
        std::uint64_t reserved = 0;
    };

    void start_node(unsigned number);
    void begin(fault const& it);
    void begin_end(unsigned number, fault const& it);
    void unlist(std::string const& id);
    void tick(unsigned number, std::uint64_t life);
    void poll_log(node& it);
    void poll_list(node& it);
    void append(node& it, limits::append_lease const& what);
    void perform(node& it, std::vector<limits::lease_action> const& actions);
    void carry_out(node& it);
    void ask(node& it, limits::ask_for_grant const& what);
    void report(node& it, limits::report_use const& what);
    struct offered
    {
        std::uint64_t tokens = 0;
        std::uint64_t used = 0;
        base::duration run{};
        unsigned attempt = 0;
    };
    void offer(unsigned number, std::uint64_t life, offered request);
    void schedule(anchor from);
    void begin(demand const& it);
    void generate(demand const& it, unsigned number, base::time_point end);
    unsigned resolve(unsigned agent) const;
    /// Runs `what` at the node once it is not frozen, if the same process still lives.
    void deliver(unsigned number, std::uint64_t life, base::duration delay,
                 std::function<void(node&)> what);
    base::time_point local(node const& it) const;
    base::duration delay();
    bool log_up() const;
    bool list_up() const;
    bool linked(node const& left, node const& right) const;
    limits::agent_list list_state(base::time_point at) const;
    void count_owners();

    history_plan plan_;
    base::random_source random_;
    virtual_time_queue time_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<log_entry> log_;
    /// What the list truly contains, by the time of change.
    std::map<base::time_point, std::set<std::string>> list_;
    base::time_point log_down_until_{};
    base::time_point list_down_until_{};
    base::time_point answers_lost_until_{};
    std::vector<admission_entry> admissions_;
    std::uint64_t lives_ = 0;
    bool taken_over_ = false;
    unsigned starts_ = 0;
    unsigned most_owners_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace savorymount::tests
