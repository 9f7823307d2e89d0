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

/// What the deployment says about its engines and its cache store.
struct engine_pool
{
    std::string service;
    std::string own_data_centre;
    /// Memory of one engine in tokens; 0 when unknown.
    double cache_tokens = 0;
    /// Address of the cache store that answers; empty when there is none.
    std::string store_address;
    /// Longest time that requests may begin on older weights.
    base::duration version_bound = std::chrono::seconds(8);

    bool operator==(engine_pool const&) const = default;
};

struct engine_request
{
    prompt_description prompt;
    /// The workspace whose cached parts are its own; empty for one that shares parts.
    std::string wall;
    /// Upstreams that this request was sent to already.
    std::set<std::string> tried;

    bool operator==(engine_request const&) const = default;
};

/// An engine for a request, and how it gets the parts of the prompt.
struct engine_choice
{
    std::string upstream;
    std::uint64_t version = 0;
    std::string salt;
    std::vector<std::uint64_t> digests;
    /// Where the engine fetches parts that it lacks; empty when there is nothing to fetch.
    std::string source_address;
    /// Whether parts that the engine reads should go to the cache store.
    bool keep_in_store = false;
    request_size size;
    /// Expected time until the engine has read the prompt.
    base::duration expected_wait{};

    bool operator==(engine_choice const&) const = default;
};

/// Names what cached parts depend on: model, weight version and, if isolated, workspace.
std::string cache_salt(std::string const& model, std::uint64_t version, std::string const& wall);

/// Chooses the engine that is expected to produce the first token soonest. It answers loads in
/// which prompts share long parts, engines change their weights and some are slow or gone. Empty
/// when no engine may begin the request now.
std::optional<engine_choice> choose_engine(base::time_point now, engine_pool const& pool,
                                           engine_request const& request, upstream_table& table,
                                           part_locations const& locations,
                                           orders::desired_weights const& wanted);

} // namespace savorymount::routing
