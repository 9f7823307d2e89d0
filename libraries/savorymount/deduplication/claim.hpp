#pragma once

#include <savorymount/base/error.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::deduplication
{

/// An agent's announcement in the log that it is about to run a request with an idempotency key.
struct claim
{
    std::string workspace;
    /// SHA-256 of the caller's key in hex; the key itself is never written.
    std::string key_digest;
    std::string request_id;
    std::string agent;
    std::string incarnation;
    /// Digest of the request, so that a key used for another request is noticed; may be empty.
    std::string request_digest;

    bool operator==(claim const&) const = default;
};

/// Longest identifier in a claim; longer ones make the record malformed.
inline constexpr std::size_t max_claim_identifier_bytes = 128;

/// Body of the log record for `claims`: the plain form
/// `{"kind":"claim","workspace":..,"key":..,"request":..,"agent":..,"incarnation":..,"digest":..}`
/// for one, and `{"kind":"claim","claims":[..]}` with these fields per element for several.
nlohmann::json to_json(std::vector<claim> const& claims);

/// Claims of a log record of kind `claim` in their order. Fails with `invalid_input` if one of them
/// is malformed; the whole record counts for nothing then, at every reader alike.
std::optional<std::vector<claim>> parse_claims(nlohmann::json const& body, base::error& reason);

} // namespace savorymount::deduplication
