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
/// (`x-savorymount-*`, `x-request-id`, `x-priority`, `x-resume-from`). `_` counts as `-` in names.
///
/// Headers, cookies and query parameters that carry credentials by their name are dropped whatever
/// their value; all others are dropped if they contain a key, also percent-encoded or in other
/// case. Fails with `invalid_input` if the path contains a key or if different keys came with the
/// request.
std::optional<filtered_request> filter_credentials(std::vector<header> const& headers,
                                                   std::string_view target, base::error& reason);

/// Whether `text` contains something in the form of a key, in any case and after any number of
/// percent-decodings. Text that stays encoded after several decodings counts as if it did.
bool contains_key(std::string_view text);

} // namespace savorymount::configuration
