#include <savorymount/configuration/upstream_kind.hpp>

namespace savorymount::configuration
{

std::string_view to_string(upstream_kind kind)
{
    return kind == upstream_kind::model ? "model" : "plain";
}

std::optional<upstream_kind> parse_upstream_kind(std::string_view text)
{
    if (text == "model")
        return upstream_kind::model;
    if (text == "plain")
        return upstream_kind::plain;
    return std::nullopt;
}

} // namespace savorymount::configuration
