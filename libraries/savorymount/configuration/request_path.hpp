#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace savorymount::configuration
{

/// `text` with each `%XX` replaced by its byte; nothing if an escape is malformed.
std::optional<std::string> percent_decoded(std::string_view text);

/// The path of a request target as upstreams see it: percent-decoded, repeated slashes merged, no
/// slash at the end (the root is empty). Nothing for a target that is not an absolute path, has a
/// malformed escape, a control character, or a `.` or `..` segment.
std::optional<std::string> normalized_path(std::string_view target);

} // namespace savorymount::configuration
