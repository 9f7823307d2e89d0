#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/orders/desired_weights.hpp>
#include <savorymount/routing/part_locations.hpp>
#include <savorymount/routing/prompt_parts.hpp>
#include <savorymount/routing/upstream_table.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace savorymount::routing
{

/// Configuration of the engines of one service and their cache store.
struct engine_pool_config
{
    std::string service;
    std::string local_data_centre;
    /// Cache capacity of one engine in tokens; 0 when unknown.
    double engine_cache_tokens = 0;
    /// Address of a reachable cache store; empty when there is none.
    std::string store_address;
    /// Maximum time for which requests may start on superseded weights.
    base::duration max_version_staleness = std::chrono::seconds(8);
    /// Parts of this weight version and newer ones may be fetched from other engines and the cache
    /// store, from an engine only while it keeps the version; empty when no part may.
    std::optional<std::uint64_t> oldest_shared_version;

    bool operator==(engine_pool_config const&) const = default;
};

struct engine_request
{
    prompt_description prompt;
    /// Requests share cached parts within one scope; see `deployment_index::cache_scope`.
    std::string cache_scope;
    /// Upstreams that already got an attempt of this request.
    std::set<std::string> tried;
    /// The only software version that may run it; any if empty.
    std::optional<std::string> software_version;
    /// Longest pause between two events that callers expect; 0 if none is declared.
    base::duration target_event_gap{};

    bool operator==(engine_request const&) const = default;
};

/// The engine chosen for a request, and where it gets the parts of the prompt.
struct engine_choice
{
    std::string upstream;
    std::uint64_t version = 0;
    std::string salt;
    std::vector<std::uint64_t> digests;
    /// Address from which the engine fetches parts that it has not cached; empty when there is
    /// none.
    std::string source_address;
    /// The engine at that address; empty for the cache store.
    std::string source_engine;
    /// Whether parts that the engine prefills should be written to the cache store.
    bool write_to_store = false;
    request_size size;
    /// Expected time until the engine has prefilled the prompt.
    base::duration expected_wait{};

    bool operator==(engine_choice const&) const = default;
};

/// Cache key salt from everything that cached parts depend on: model, weight version and the scope
/// within which they are shared.
std::string cache_salt(std::string const& model, std::uint64_t version, std::string const& scope);

/// Chooses the engine with the lowest cost: its expected time to first token, plus penalties for
/// duplicate prefills and copies, for traffic between data centres, for superseded weights and for
/// engines that are draining. Empty when no engine may start the request now.
std::optional<engine_choice> choose_engine(base::time_point now, engine_pool_config const& pool,
                                           engine_request const& request, upstream_table& table,
                                           part_locations const& locations,
                                           orders::desired_weights const& desired);

} // namespace savorymount::routing
