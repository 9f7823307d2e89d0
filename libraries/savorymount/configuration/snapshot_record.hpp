#pragma once

#include <savorymount/configuration/documents.hpp>

#include <cstdint>
#include <optional>

namespace savorymount::configuration
{

/// Body of a `snapshot` record: `version` was in force at every offset from `version` to `through`.
struct snapshot_record
{
    std::uint64_t version = 0;
    /// Offset up to which the writer had read the log; `version` if the record does not say.
    std::uint64_t through = 0;
    documents content;

    bool operator==(snapshot_record const&) const = default;
};

/// Fails with `invalid_input` or `too_large`.
std::optional<snapshot_record> parse_snapshot_record(nlohmann::json const& body,
                                                     base::error& reason);

nlohmann::json to_json(snapshot_record const& snapshot);

} // namespace savorymount::configuration
