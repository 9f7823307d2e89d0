#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/configuration/configuration.hpp>
#include <savorymount/configuration/key_table.hpp>
#include <savorymount/routing/prompt_prefix.hpp>
#include <savorymount/runtime/http_header.hpp>
#include <savorymount/runtime/upstream_adapter.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace savorymount::entry
{

/// A caller's request after authentication, with what routing and admission need.
struct routed_request
{
    std::string id;
    std::string workspace;
    std::string key_id;
    std::string route;
    std::string group;
    std::string method;
    std::string target;
    runtime::http_headers headers;
    std::string body;
    bool repeatable = false;
    bool stream = false;
    std::int32_t priority = 0;
    /// Tokens that a plain request costs; zero for model requests, which the agent estimates.
    std::uint64_t cost_tokens = 0;
    std::uint64_t answer_tokens = 0;
    /// The model, adapter and version that the request runs on; empty on plain routes.
    std::optional<runtime::held_model> model;
    routing::prompt_prefix prefix;
    /// Names the same request when a caller sends it again.
    std::string digest;
    /// SHA-256 of the caller's idempotency key; empty for none.
    std::string idempotency_key;

    bool operator==(routed_request const&) const = default;
};

/// What arrived from the caller.
struct raw_request
{
    std::string id;
    std::string method;
    std::string target;
    runtime::http_headers headers;
    std::string body;

    bool operator==(raw_request const&) const = default;
};

/// Whether an upstream of the group holds the model now.
using model_check = std::function<bool(std::string const& group, runtime::held_model const&)>;

/// Authenticates a request, finds its route and reads what routing needs. Fails with the kind that
/// the caller is told; nothing has run then.
std::optional<routed_request> parse_routed_request(raw_request const& raw,
                                                   configuration::configuration const& current,
                                                   configuration::key_table const& keys,
                                                   model_check const& serves, base::error& reason);

} // namespace savorymount::entry
