#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/configuration/client_limits.hpp>
#include <savorymount/configuration/prefix_map.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savorymount::configuration
{

/// How often a request of a route may run.
enum class repeat_rule
{
    /// Any number of times.
    safe,
    /// Once at most.
    unsafe,
    /// Once at most, answered by a series of events; on a resumable route another run may go on
    /// after the last event.
    streaming
};

/// A service that takes part of a route's requests.
struct service_share
{
    std::string service;
    double weight = 1;

    bool operator==(service_share const&) const = default;
};

/// Requests of one host below one path prefix.
struct service_route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    repeat_rule kind = repeat_rule::unsafe;
    /// Longest time that a request may stay unanswered.
    base::duration timeout{};
    /// Time to the answer, or to a stream's first event, that callers expect.
    base::duration target_latency{};
    /// Longest pause between two events of a stream that callers expect; 0 if none is declared.
    base::duration target_event_gap{};
    /// 0 is the most urgent.
    std::int32_t priority = 0;
    std::vector<service_share> shares;
    std::uint32_t max_attempts = 1;
    /// Whether requests need no key.
    bool open = false;
    /// Whether requests carry a prompt for a model.
    bool prompts = false;
    bool resumable = false;

    bool operator==(service_route const&) const = default;
};

/// A store that keeps KV cache for the engines.
struct cache_store
{
    /// `IP:port`.
    std::string address;
    std::string data_centre;

    bool operator==(cache_store const&) const = default;
};

struct service_description
{
    std::string name;
    std::string health_path;
    /// Connections that one upstream accepts from all callers together.
    std::uint32_t max_connections = 0;
    /// Whether the upstreams are model engines.
    bool model_engine = false;
    /// KV cache memory of one engine, in tokens.
    std::uint64_t cache_tokens = 0;
    std::optional<cache_store> store;

    bool operator==(service_description const&) const = default;
};

/// The contract of one workspace on the users' platform.
struct workspace_account
{
    std::string name;
    std::vector<std::string> keys;
    /// Goes before the priority of the route.
    std::optional<std::int32_t> priority;
    /// Whether the workspace shares no cached part with others.
    bool isolated = false;
    /// Tokens per second; 0 means no limit.
    std::uint64_t rate = 0;
    std::uint64_t burst = 0;
    /// Tokens that a request without a token count is charged.
    std::uint64_t plain_tokens = 1;

    bool operator==(workspace_account const&) const = default;
};

/// One version of the whole configuration.
struct deployment
{
    std::uint64_t version = 0;
    std::vector<service_route> routes;
    std::map<std::string, service_description> services;
    client_limits limits;
    /// Whether requests on routes that are not open need the key of a workspace, also if there is
    /// no workspace.
    bool needs_keys = true;
    std::vector<workspace_account> workspaces;

    bool operator==(deployment const&) const = default;
};

/// The cache scope of a workspace that shares no cached part with others.
std::string isolated_cache_scope(std::string const& workspace);

/// Answers the questions that each request asks of a deployment.
class deployment_index
{
public:
    explicit deployment_index(deployment data);

    deployment const& data() const { return data_; }

    /// The route of `host` with the longest prefix of `path`, or null.
    service_route const* find_route(std::string_view host, std::string_view path) const;

    /// The workspace that holds `key`, or null.
    workspace_account const* find_workspace(std::string const& key) const;

    service_description const* find_service(std::string const& name) const;

    /// The store that keeps KV cache, if there is one.
    cache_store const* find_cache_store() const;

    /// Names the requests that may share cached parts with those of `workspace`; empty if all may.
    /// `workspace` is empty for a request without a key.
    std::string cache_scope(std::string const& workspace) const;

    bool needs_keys() const { return data_.needs_keys; }

private:
    deployment data_;
    /// Indices of routes.
    prefix_map<std::size_t> by_prefix_;
    std::unordered_map<std::string, std::size_t> by_key_;
    std::set<std::string> isolated_workspaces_;
    /// The scope of the workspaces that are not isolated.
    std::string shared_cache_scope_;
};

} // namespace savorymount::configuration
