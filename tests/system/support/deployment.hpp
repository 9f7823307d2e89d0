#pragma once

#include <savorymount/configuration/caller_key.hpp>
#include <savorymount/runtime/settings_parser.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tests/system/support/process.hpp>
#include <tests/system/support/test_client.hpp>
#include <vector>

namespace savorymount::tests
{

/// Size and behaviour of a deployment under test.
struct deployment_options
{
    unsigned engines = 2;
    unsigned services = 1;
    unsigned entries = 2;
    unsigned concurrency = 16;
    /// Puts a fault relay in front of each agent's internal port.
    bool relayed = false;
    std::vector<std::string> engine_arguments = {};
    std::vector<std::string> platform_arguments = {};
};

/// One upstream with the agent beside it.
struct upstream_pair
{
    std::string agent_id;
    std::string incarnation;
    std::string group;
    process upstream;
    runtime::network_address upstream_address;
    process agent;
    runtime::network_address agent_address;
    runtime::network_address status_address;
    std::optional<process> relay = std::nullopt;
    runtime::network_address relay_control = {};
};

struct entry_process
{
    std::string id;
    process program;
    runtime::network_address http;
    runtime::network_address status_address;
};

/// A whole deployment on loopback: platform, upstreams, agents, entries and published contracts.
/// Workspaces `large` and `small` may use all routes.
class deployment
{
public:
    explicit deployment(deployment_options options);

    test_client& client() { return client_; }
    runtime::network_address const& entry(std::size_t i) const { return entries.at(i).http; }

    /// The key of a workspace, as its callers present it.
    std::string key(std::string const& workspace) const { return keys_.at(workspace); }

    /// Sends a prompt to entry `i`; `levels` become the messages.
    std::shared_ptr<caller_answer> prompt(std::size_t i, std::string const& workspace,
                                          std::vector<std::string> const& levels, bool stream,
                                          std::uint64_t max_tokens = 8);

    /// Books a slot at entry `i`.
    std::shared_ptr<caller_answer> book(std::size_t i, std::string const& workspace,
                                        std::string const& idempotency_key = {});

    /// Appends a change of documents to the log against the version of entry 0; returns its offset.
    std::uint64_t publish(nlohmann::json const& documents);

    /// Waits until every running instance has at least this version in force.
    void wait_for_version(std::uint64_t version);

    /// Sends a control request to a stand-in.
    void control(runtime::network_address const& address, nlohmann::json const& command);

    /// Executions at all plain services by request id.
    std::map<std::string, std::uint64_t> executions();

    nlohmann::json status(runtime::network_address const& address);

    /// The contract document of a workspace.
    nlohmann::json contract(std::string const& workspace) const;

    /// Starts another entry and lists it.
    entry_process& add_entry();

    /// Replaces the agent of a pair by a new process start.
    void replace_agent(upstream_pair& pair);

    process platform;
    runtime::network_address platform_address;
    std::vector<upstream_pair> engines;
    std::vector<upstream_pair> services;
    std::vector<entry_process> entries;

private:
    upstream_pair start_pair(std::string const& group, std::string const& program,
                             std::string const& plugin, std::vector<std::string> const& arguments,
                             unsigned number);
    void start_agent(upstream_pair& pair, std::string const& plugin);
    std::string start_relay(upstream_pair& pair, std::string const& target);
    std::vector<std::string> common_arguments(std::string const& id,
                                              std::string const& incarnation);
    void list(std::string const& id, std::string const& role, std::string const& address,
              std::string const& status_address, std::string const& group);
    void publish_contracts();
    void wait_until_serving();

    deployment_options options_;
    test_client client_;
    std::map<std::string, std::string> keys_;
    nlohmann::json contracts_;
    unsigned next_incarnation_ = 1;
    unsigned next_change_ = 1;
};

} // namespace savorymount::tests
