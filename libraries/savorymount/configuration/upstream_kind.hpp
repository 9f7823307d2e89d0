#pragma once

#include <optional>
#include <string_view>

namespace savorymount::configuration
{

/// What the upstreams of a group or route are.
enum class upstream_kind
{
    model,
    plain
};

/// The name of a kind as documents spell it.
std::string_view to_string(upstream_kind kind);

/// The kind that documents spell as `text`; nothing for any other text.
std::optional<upstream_kind> parse_upstream_kind(std::string_view text);

} // namespace savorymount::configuration
