#pragma once

#include <savorymount/base/error.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::deduplication
{

/// An agent's claim to run a request with an idempotency key, appended to the log before it runs.
struct claim
{
    std::string workspace;
    /// SHA-256 of the client's idempotency key in hex; the key itself is never written.
    std::string key_digest;
    std::string request_id;
    std::string agent;
    std::string incarnation;
    /// Digest of the request, to detect a key that is reused for a different request; may be empty.
    std::string request_digest;

    bool operator==(claim const&) const = default;
};

/// Maximum size of an identifier in a claim; a longer one makes the record malformed.
inline constexpr std::size_t max_claim_identifier_bytes = 128;

/// Body of the log record for `claims`, in one of two formats:
/// `{"kind":"claim","workspace":..,"key":..,"request":..,"agent":..,"incarnation":..,"digest":..}`
/// for one claim, `{"kind":"claim","claims":[..]}` with the same fields per element for several
/// claims.
nlohmann::json to_json(std::vector<claim> const& claims);

/// Parses a log record of kind `claim`. Fails with `invalid_input` if one of its claims is
/// malformed: every reader then ignores the whole record, so that all readers agree.
std::optional<std::vector<claim>> parse_claims(nlohmann::json const& body, base::error& reason);

} // namespace savorymount::deduplication
