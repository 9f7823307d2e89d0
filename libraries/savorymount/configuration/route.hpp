#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/configuration/upstream_kind.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorymount::configuration
{

/// Maps requests whose path starts with a prefix to a group of upstreams.
struct route
{
    /// The document's name. A member can't have the name of its class.
    std::string name;
    /// Starts with `/`; matches whole path segments.
    std::string path_prefix;
    std::string group;
    /// Whether requests need no key and run for the workspace `open`.
    bool open = false;
    /// Upper-case methods that may run more than once; ignored on model routes.
    std::vector<std::string> repeatable_methods;
    upstream_kind kind = upstream_kind::plain;
    /// Tokens that one request on a plain route costs.
    std::uint64_t cost_tokens = 1;

    bool operator==(route const&) const = default;

    /// Whether a request with `method` may run more than once.
    bool repeatable(std::string_view method) const;
};

/// Fails with `invalid_input`; `path` is the document's name, such as `routes/chat`.
std::optional<route> parse_route(nlohmann::json const& value, std::string const& path,
                                 base::error& reason);

} // namespace savorymount::configuration
