#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/configuration/header.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorymount::configuration
{

/// A request's head without credentials.
struct filtered_request
{
    /// The key that came with the request; nothing if none has the form of a key.
    std::optional<std::string> presented_key;
    /// Headers to pass on.
    std::vector<header> headers;
    /// Target to pass on.
    std::string target;

    bool operator==(filtered_request const&) const = default;
};

/// Takes the caller's key out of a request's head and drops the headers that only the system sets
/// (`x-savorymount-*`, `x-request-id`, `x-priority`, `x-resume-from`).
///
/// Headers and query parameters that carry credentials by their name are dropped whatever their
/// value; any other header, cookie or query parameter is dropped if it contains a key, also
/// percent-encoded or in other case. Fails with `invalid_input` if the path contains a key or if
/// two different keys came with the request.
std::optional<filtered_request> filter_credentials(std::vector<header> const& headers,
                                                   std::string_view target, base::error& reason);

} // namespace savorymount::configuration
