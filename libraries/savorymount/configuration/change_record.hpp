#pragma once

#include <savorymount/configuration/documents.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace savorymount::configuration
{

/// Body of a `change` record.
struct change_record
{
    std::uint64_t base = 0;
    std::string operator_name;
    std::int64_t time_ms = 0;
    /// New documents by name; null removes the document.
    documents::map_type changes;

    bool operator==(change_record const&) const = default;
};

/// Fails with `invalid_input` or `too_large`.
std::optional<change_record> parse_change_record(nlohmann::json const& body, base::error& reason);

nlohmann::json to_json(change_record const& change);

} // namespace savorymount::configuration
