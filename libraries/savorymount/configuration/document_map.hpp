#pragma once

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>

namespace savorymount::configuration
{

/// Raw documents by name. In a change, null removes a document.
using document_map = std::map<std::string, nlohmann::json>;

} // namespace savorymount::configuration
